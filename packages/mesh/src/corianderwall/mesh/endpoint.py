"""The state of the endpoint beside this node, from announcements, leave notices and responses."""

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from corianderwall.mesh.messages import STATE_RANK, EndpointRecord, EndpointState, Leave
from corianderwall.mesh.settings import HostSettings
from corianderwall.model.endpoint import Address
from corianderwall.node.logs import log_info, log_warning

MAX_MISSED_ANNOUNCEMENTS = 3.5
"""Announcement intervals without any sign of life after which an endpoint counts as down."""
MAX_KEPT_LEAVES = 64
"""Leave notices of unknown endpoints that are kept; an address gets a few of them in an hour."""
REVISIONS_PER_SEQUENCE = 1000
"""Revisions that a record can get between two announcements of its endpoint."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """An endpoint's report of its state; `warm_after_s` is the rest of its warm-up time."""

    id: str
    service: str
    version: str
    zone: str
    address: Address
    slots: int
    draining: bool
    warm_after_s: float
    born_unix_ms: int
    sequence: int


class EndpointTracker:
    """Keeps the record of the endpoint at this host's address.

    `on_start` is called with the record of each new start and `on_change` with each new record.
    `find_record` returns the record of an endpoint that peers have from an earlier process here.
    `on_warmup` is called with the seconds of warm-up left of each announcement, and with None for a
    record of an earlier process, which does not tell whether the endpoint is cold now.
    """

    def __init__(
        self,
        settings: HostSettings,
        on_start: Callable[[EndpointRecord], None],
        on_change: Callable[[EndpointRecord], None],
        find_record: Callable[[str], EndpointRecord | None],
        on_warmup: Callable[[float | None], None] = lambda _: None,
    ) -> None:
        self.record: EndpointRecord | None = None
        self._settings = settings
        self._on_start = on_start
        self._on_change = on_change
        self._find_record = find_record
        self._on_warmup = on_warmup
        # By endpoint id: starts up to this time, in Unix milliseconds, have left.
        self._left_until: dict[str, int] = {}
        self._loop = asyncio.get_running_loop()
        self._sequence = 0
        self._last_seen_at = -math.inf

    def handle_announcement(self, announcement: Announcement) -> bool:
        """Handle an announcement; return whether it is acknowledged."""
        if announcement.address != self._settings.endpoint:
            log_warning("an announcement has an unexpected address", endpoint=announcement.id)
            return False
        record = self.record
        if record is not None and announcement.born_unix_ms < record.born_unix_ms:
            log_info("an announcement of an earlier start is ignored", endpoint=announcement.id)
            return True
        if record is None or self._is_new_start(record, announcement):
            self._start_record(announcement)
            return True
        self._last_seen_at = self._loop.time()
        if announcement.sequence <= self._sequence:
            return True
        self._sequence = announcement.sequence
        self._on_warmup(announcement.warm_after_s)
        if announcement.draining:
            self._set_state(EndpointState.DRAINING, "announced")
        elif record.state is EndpointState.DOWN:
            self._set_state(EndpointState.READY, "announced again")
        return True

    def handle_leave(self, endpoint: str, born_unix_ms: int | None) -> None:
        """Handle a leave notice of `endpoint`; it is kept if the record is not known yet."""
        record = self.record
        if record is None or record.id != endpoint:
            log_info("leave notice of an unknown endpoint", endpoint=endpoint)
            self._keep_leave(
                endpoint, born_unix_ms if born_unix_ms is not None else int(time.time() * 1000)
            )
            known = self._find_record(endpoint)
            if record is None and known is not None:
                self._adopt_record(known)
                self._apply_kept_leave()
            return
        if born_unix_ms is not None and born_unix_ms < record.born_unix_ms:
            log_info("leave notice of an earlier start is ignored", endpoint=endpoint)
            return
        self._set_state(EndpointState.GONE, "left")

    def restore_leave(self, leave: Leave) -> None:
        """Honour a leave that an earlier process here has acknowledged."""
        self._keep_leave(leave.endpoint, leave.born_unix_ms)
        self._apply_kept_leave()

    def find_leave(self, endpoint: str) -> Leave | None:
        """Return the leave of `endpoint` if it leaves, which must outlive this process."""
        record = self.record
        if record is not None and record.id == endpoint:
            born_unix_ms = record.born_unix_ms if STATE_RANK[record.state] else None
        else:
            born_unix_ms = self._left_until.get(endpoint)
        if born_unix_ms is None:
            return None
        return Leave(
            endpoint=endpoint,
            node=self._settings.name,
            born_unix_ms=born_unix_ms,
            at_unix_ms=int(time.time() * 1000),
        )

    def merge_record(self, record: EndpointRecord) -> None:
        """Merge a record that peers have from an earlier process of this node."""
        own = self.record
        if own is None and self._has_left(record.id, record.born_unix_ms):
            self._adopt_record(record)
            self._apply_kept_leave()
            return
        if own is None or (own.id, own.born_unix_ms) != (record.id, record.born_unix_ms):
            return
        if STATE_RANK[record.state] > STATE_RANK[own.state]:
            self._set_state(record.state, "acknowledged by an earlier process")

    def adopt(self, record: EndpointRecord) -> None:
        """Adopt the record of an endpoint that an earlier process here has known."""
        if self.record is None:
            self._adopt_record(record)
            self._set_state(EndpointState.READY, "found by its health path", force=True)
            self._apply_kept_leave()

    def check_liveness(self) -> None:
        """Mark the endpoint as down if it has not announced itself or responded for too long."""
        record = self.record
        silent_s = self._settings.bounds.heartbeat_s * MAX_MISSED_ANNOUNCEMENTS
        if record is None or record.state is not EndpointState.READY:
            return
        if self._loop.time() - self._last_seen_at > silent_s:
            self._set_state(EndpointState.DOWN, "silent")

    def record_response(self) -> None:
        """Record that the endpoint has responded."""
        self._last_seen_at = self._loop.time()

    def mark_leaving(self) -> None:
        """Give the endpoint no more calls, as it has said in a response that it is leaving."""
        record = self.record
        if record is not None and STATE_RANK[record.state] < STATE_RANK[EndpointState.DRAINING]:
            self._set_state(EndpointState.DRAINING, "said so in a response")

    def mark_down(self, cause: str) -> None:
        """Mark the endpoint as down until it announces itself again."""
        self._set_state(EndpointState.DOWN, cause)

    def _adopt_record(self, record: EndpointRecord) -> None:
        self.record = record
        self._sequence = record.revision // REVISIONS_PER_SEQUENCE
        self._last_seen_at = self._loop.time()
        self._on_warmup(None)

    def _keep_leave(self, endpoint: str, born_unix_ms: int) -> None:
        self._left_until[endpoint] = max(born_unix_ms, self._left_until.pop(endpoint, 0))
        if len(self._left_until) > MAX_KEPT_LEAVES:
            del self._left_until[next(iter(self._left_until))]

    def _has_left(self, endpoint: str, born_unix_ms: int) -> bool:
        return born_unix_ms <= self._left_until.get(endpoint, 0)

    def _apply_kept_leave(self) -> None:
        record = self.record
        if record is not None and self._has_left(record.id, record.born_unix_ms):
            self._set_state(EndpointState.GONE, "left before it was known here")

    def _is_new_start(self, record: EndpointRecord, announcement: Announcement) -> bool:
        return record.id != announcement.id or announcement.born_unix_ms > record.born_unix_ms

    def _start_record(self, announcement: Announcement) -> None:
        former = self.record
        if former is not None and former.id != announcement.id:
            self._set_state(EndpointState.GONE, "replaced by another start")
        self._sequence = announcement.sequence
        self._last_seen_at = self._loop.time()
        state = EndpointState.DRAINING if announcement.draining else EndpointState.READY
        if self._has_left(announcement.id, announcement.born_unix_ms):
            state = EndpointState.GONE
        warm_ms = int(time.time() * 1000 + announcement.warm_after_s * 1000)
        self.record = EndpointRecord(
            id=announcement.id,
            service=announcement.service,
            version=announcement.version,
            node=self._settings.name,
            zone=self._settings.zone,
            slots=announcement.slots,
            born_unix_ms=announcement.born_unix_ms,
            state=state,
            warm_unix_ms=warm_ms,
            revision=announcement.sequence * REVISIONS_PER_SEQUENCE,
        )
        self._on_start(self.record)
        self._on_warmup(announcement.warm_after_s)
        log_info(
            "endpoint started",
            endpoint=announcement.id,
            service=announcement.service,
            upstream_version=announcement.version,
            slots=announcement.slots,
            state=state.value,
        )
        self._on_change(self.record)

    def _set_state(self, state: EndpointState, cause: str, *, force: bool = False) -> None:
        record = self.record
        if record is None or (record.state is state and not force):
            return
        if record.state is EndpointState.GONE:
            return
        revision = max(record.revision + 1, self._sequence * REVISIONS_PER_SEQUENCE)
        self.record = msgspec.structs.replace(record, state=state, revision=revision)
        log_info(
            "endpoint state",
            endpoint=record.id,
            former=record.state.value,
            state=state.value,
            cause=cause,
            sequence=self._sequence,
        )
        self._on_change(self.record)
