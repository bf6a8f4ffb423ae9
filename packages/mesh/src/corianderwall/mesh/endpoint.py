"""The state of the endpoint beside this node, from announcements, leave notices and responses."""

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import astuple, dataclass

import msgspec

from corianderwall.mesh.messages import STATE_RANK, EndpointRecord, EndpointState, Leave
from corianderwall.mesh.settings import HostSettings
from corianderwall.mesh.starts import KeptLeaves, SequenceFilter, Start, StartClaims, StartOrder
from corianderwall.model.endpoint import Address
from corianderwall.node.logs import log_info, log_warning

MAX_MISSED_ANNOUNCEMENTS = 3.5
"""Announcement intervals without any sign of life after which an endpoint counts as down."""
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

    @property
    def start(self) -> Start:
        """Return the start that announces itself."""
        return Start(self.id, self.born_unix_ms)


class TermsFilter:
    """Tells a change of what a start says of itself from a single forged announcement."""

    def __init__(self) -> None:
        self._other: Announcement | None = None

    def accept(self, record: EndpointRecord, announcement: Announcement) -> bool:
        """Return whether two announcements in a row differ from `record` in the same way."""
        terms = (announcement.version, announcement.slots)
        if terms == (record.version, record.slots):
            self._other = None
            return False
        other, self._other = self._other, announcement
        if other is None or other.sequence >= announcement.sequence:
            return False
        return terms == (other.version, other.slots)


class EndpointTracker:
    """Keeps the record of the endpoint at this host's address.

    A start that looks earlier than the current one, or that has been replaced, becomes the current
    one only if it goes on announcing itself while the current one does not, since the time of day
    may have been set back. So does one of another service than that of the settings, which may be
    a forged announcement. What cannot be placed is not acknowledged.

    `on_start` is called with the record of each new start and `on_change` with each new record.
    `find_record` returns the record of an endpoint that peers have from an earlier process here.
    `on_warmup` is called with the seconds of warm-up left of each announcement, and with None for a
    record of an earlier process, which does not tell whether the endpoint is cold now.
    `knows_service` returns whether the configuration has a service of that name.
    """

    def __init__(
        self,
        settings: HostSettings,
        on_start: Callable[[EndpointRecord], None],
        on_change: Callable[[EndpointRecord], None],
        find_record: Callable[[str], EndpointRecord | None],
        on_warmup: Callable[[float | None], None] = lambda _: None,
        knows_service: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self.record: EndpointRecord | None = None
        self.unplaced_count = 0
        self._settings = settings
        self._on_start = on_start
        self._on_change = on_change
        self._find_record = find_record
        self._on_warmup = on_warmup
        self._knows_service = knows_service
        self._loop = asyncio.get_running_loop()
        self._sequence = SequenceFilter(0)
        self._terms = TermsFilter()
        self._claims = StartClaims(settings.bounds.heartbeat_s)
        self._order = StartOrder()
        self._leaves = KeptLeaves()
        # Set while the record is gone by a leave that may be one of an earlier start.
        self._is_leave_doubtful = False
        self._last_seen_at = -math.inf
        # What has been passed on; less than the record if passing it on has failed.
        self._started: EndpointRecord | None = None
        self._reported: EndpointRecord | None = None

    def use_settings(self, settings: HostSettings) -> None:
        """Use changed settings, from the next announcement on."""
        self._settings = settings

    def handle_announcement(self, announcement: Announcement) -> bool:
        """Handle an announcement; return whether it is acknowledged."""
        self._repeat_failed_report()
        if announcement.address != self._settings.endpoint:
            log_warning("an announcement has an unexpected address", endpoint=announcement.id)
            return False
        service = announcement.service
        if service != self._settings.service and not self._knows_service(service):
            log_warning(
                "an announcement has an unknown service", endpoint=announcement.id, service=service
            )
            return False
        record = self.record
        if record is None:
            placed = self._handle_first(announcement)
        elif announcement.start == _find_start(record):
            placed = self._handle_current(record, announcement)
        else:
            placed = self._handle_other(record, announcement)
        self.unplaced_count += not placed
        return placed

    def handle_leave(self, endpoint: str, born_unix_ms: int | None) -> bool:
        """Handle a leave notice of `endpoint`; return whether it is acknowledged.

        It is kept if the record is not known yet.
        """
        self._repeat_failed_report()
        record = self.record
        if record is None or record.id != endpoint:
            log_info("leave notice of an unknown endpoint", endpoint=endpoint)
            self._keep_leave(endpoint, born_unix_ms)
            known = self._find_record(endpoint)
            if record is None and known is not None:
                self._adopt_record(known)
                self._apply_leave()
            return True
        current = _find_start(record)
        if born_unix_ms is None or born_unix_ms >= current.born_unix_ms:
            if born_unix_ms is not None:
                self._keep_leave(endpoint, born_unix_ms)
            self._leave(EndpointState.GONE, "left")
            return True
        return self._handle_earlier_leave(record, Start(endpoint, born_unix_ms))

    def restore_leave(self, leave: Leave) -> None:
        """Honour a leave that an earlier process here has acknowledged.

        Another writer may have left it, so only the very start that it names stays out for good.
        """
        self._leaves.add(leave.endpoint, leave.born_unix_ms, exact=True)
        self._apply_leave()

    def find_leave(self, endpoint: str) -> Leave | None:
        """Return the leave of `endpoint` if it leaves, which must outlive this process."""
        record = self.record
        if record is not None and record.id == endpoint:
            if not STATE_RANK[record.state]:
                return None
            born_unix_ms = _find_start(record).born_unix_ms
        else:
            kept = self._leaves.get(endpoint)
            if kept is None:
                return None
            born_unix_ms = kept.until_unix_ms
        return Leave(
            endpoint=endpoint,
            node=self._settings.name,
            born_unix_ms=born_unix_ms,
            at_unix_ms=int(time.time() * 1000),
        )

    def merge_record(self, record: EndpointRecord) -> None:
        """Merge a record that peers have from an earlier process of this node."""
        own = self.record
        if own is None:
            if self._leaves.covers(_find_start(record)):
                self._adopt_record(record)
                self._apply_leave()
            return
        if own.id != record.id or record.born_unix_ms < own.born_unix_ms:
            return
        if STATE_RANK[record.state] > STATE_RANK[own.state]:
            if record.born_unix_ms == own.born_unix_ms:
                self._leave(record.state, "acknowledged by an earlier process")
            else:
                # The start that looks later may be the one that is known here.
                self._adopt_record(record)
                self._report()
        elif record.born_unix_ms > own.born_unix_ms:
            self._order.record(record.id, record.born_unix_ms)
            born_unix_ms = self._order.assign(_find_start(own))
            self.record = self._started = msgspec.structs.replace(own, born_unix_ms=born_unix_ms)
            self._report()

    def adopt(self, record: EndpointRecord) -> None:
        """Adopt the record of an endpoint that an earlier process here has known."""
        if self.record is None:
            self._adopt_record(record)
            self._set_state(EndpointState.READY, "found by its health path", force=True)
            self._apply_leave()

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
        self._leave(EndpointState.DRAINING, "said so in a response")

    def mark_down(self, cause: str) -> None:
        """Mark the endpoint as down until it announces itself again."""
        self._set_state(EndpointState.DOWN, cause)

    def refute(self, endpoint: str) -> None:
        """Give up the start `endpoint`, as another one has responded at its address."""
        record = self.record
        if record is not None and record.id == endpoint:
            self._claims.reinstate()
            self._claims.retire(_find_start(record))
            self._set_state(EndpointState.DOWN, "misdirected")

    def _handle_first(self, announcement: Announcement) -> bool:
        if self._is_foreign(announcement) and not self._claim(announcement, after_leave=False):
            return False
        self._start_record(announcement)
        return not self._is_leave_doubtful

    def _is_foreign(self, announcement: Announcement) -> bool:
        return announcement.service != self._settings.service

    def _handle_current(self, record: EndpointRecord, announcement: Announcement) -> bool:
        if announcement.service != record.service:
            log_warning("an announcement has another service", endpoint=announcement.id)
            if self._is_foreign(announcement):
                return False
            self._start_record(announcement)
            return not self._is_leave_doubtful
        if self._is_leave_doubtful and not announcement.draining:
            return self._reuse(announcement)
        if self._claims.is_retired(announcement.start):
            # It was refuted, and another start may announce itself any moment.
            if not self._claim(announcement, after_leave=False):
                return False
            self._claims.restore(announcement.start)
        self._claims.clear()
        is_new = self._sequence.accept(announcement.sequence)
        if is_new:
            self._last_seen_at = self._loop.time()
            self._on_warmup(announcement.warm_after_s)
        if announcement.draining:
            self._leave(EndpointState.DRAINING, "announced")
        if self._terms.accept(record, announcement):
            # The first announcement of this start may have been forged.
            self._replace_terms(announcement)
        if is_new and record.state is EndpointState.DOWN and not announcement.draining:
            self._set_state(EndpointState.READY, "announced again")
        return True

    def _replace_terms(self, announcement: Announcement) -> None:
        """Take over what the current start says of itself; its running calls go on."""
        former = self.record
        if former is None:
            return
        self.record = msgspec.structs.replace(
            former,
            version=announcement.version,
            slots=announcement.slots,
            revision=self._find_revision(former),
        )
        log_warning(
            "the endpoint says something else of itself than before",
            endpoint=former.id,
            version_former=former.version,
            upstream_version=announcement.version,
            slots_former=former.slots,
            slots=announcement.slots,
        )
        self._report()

    def _find_revision(self, record: EndpointRecord) -> int:
        return max(record.revision + 1, self._sequence.sequence * REVISIONS_PER_SEQUENCE)

    def _handle_other(self, record: EndpointRecord, announcement: Announcement) -> bool:
        """Handle an announcement of a start that is not the current one."""
        start, current = announcement.start, _find_start(record)
        covered = self._leaves.covers(start)
        if covered and self._leaves.is_certain(start):
            return True
        is_retired = self._claims.is_retired(start)
        if not is_retired and not covered and not self._is_foreign(announcement):
            is_down = record.state is EndpointState.DOWN
            if is_down or start.born_unix_ms > current.born_unix_ms:
                self._start_record(announcement)
                return True
        has_left = start.id == current.id and STATE_RANK[record.state] > 0
        if self._claim(announcement, after_leave=covered or has_left):
            self._leaves.exempt(start)
            self._start_record(announcement)
            return True
        if announcement.draining and start.id == current.id and not is_retired:
            return self._doubt_current("a leave that may be its own")
        return False

    def _handle_earlier_leave(self, record: EndpointRecord, start: Start) -> bool:
        """Handle the leave of a start that looks earlier than the current one of the same id."""
        if self._claims.is_retired(start):
            log_info("leave notice of an earlier start is ignored", endpoint=start.id)
            return False
        if self._claims.is_claimed(start):
            self._leave(EndpointState.GONE, "left, by a start that looks earlier")
            return True
        return self._doubt_current("a leave that may be its own")

    def _doubt_current(self, cause: str) -> bool:
        """Stop calls until the endpoint announces itself; return whether it leaves anyway."""
        record = self.record
        if record is not None and STATE_RANK[record.state]:
            return True
        self._set_state(EndpointState.DOWN, cause)
        return False

    def _claim(self, announcement: Announcement, *, after_leave: bool) -> bool:
        """Return whether a start has shown by its announcements that it is the current one."""
        start, now = announcement.start, self._loop.time()
        if self._claims.add(start, announcement.sequence, now, after_leave=after_leave):
            return True
        log_info(
            "an announcement cannot be placed",
            endpoint=start.id,
            born=start.born_unix_ms,
            sequence=announcement.sequence,
            current=self.record.start if self.record is not None else "",
            after_leave=after_leave,
        )
        return False

    def _reuse(self, announcement: Announcement) -> bool:
        """Use an endpoint again that goes on announcing itself after a doubtful leave."""
        if not self._claim(announcement, after_leave=True):
            return False
        self._leaves.exempt(announcement.start)
        self._start_record(announcement)
        return True

    def _leave(self, state: EndpointState, cause: str) -> None:
        """Give the current start no more calls, and remember this after its record is replaced."""
        if self.record is not None:
            self._keep_leave(*astuple(_find_start(self.record)))
            self._is_leave_doubtful = False
        self._set_state(state, cause)

    def _keep_leave(self, endpoint: str, born_unix_ms: int | None) -> None:
        exact = born_unix_ms is not None
        until_ms = born_unix_ms if born_unix_ms is not None else int(time.time() * 1000)
        self._leaves.add(endpoint, until_ms, exact=exact)

    def _apply_leave(self) -> None:
        record = self.record
        if record is None or record.state is EndpointState.GONE:
            return
        start = _find_start(record)
        if self._leaves.covers(start):
            self._is_leave_doubtful = not self._leaves.is_certain(start)
            self._set_state(EndpointState.GONE, "has left before")

    def _adopt_record(self, record: EndpointRecord) -> None:
        self.record = self._started = self._reported = record
        self._is_leave_doubtful = False
        self._order.record(record.id, record.born_unix_ms)
        self._sequence = SequenceFilter(record.revision // REVISIONS_PER_SEQUENCE)
        self._last_seen_at = self._loop.time()
        self._on_warmup(None)

    def _start_record(self, announcement: Announcement) -> None:
        former = self.record
        if former is not None:
            self._claims.retire(_find_start(former))
            if former.id != announcement.id:
                self._set_state(EndpointState.GONE, "replaced by another start")
        start = announcement.start
        self._claims.restore(start)
        self._claims.clear()
        self._sequence = SequenceFilter(announcement.sequence)
        self._terms = TermsFilter()
        self._last_seen_at = self._loop.time()
        state = EndpointState.DRAINING if announcement.draining else EndpointState.READY
        if self._leaves.covers(start):
            state = EndpointState.GONE
        elif announcement.draining:
            self._keep_leave(start.id, start.born_unix_ms)
        self._is_leave_doubtful = state is EndpointState.GONE and not self._leaves.is_certain(start)
        warm_ms = int(time.time() * 1000 + announcement.warm_after_s * 1000)
        self.record = EndpointRecord(
            id=announcement.id,
            service=announcement.service,
            version=announcement.version,
            node=self._settings.name,
            zone=self._settings.zone,
            slots=announcement.slots,
            born_unix_ms=self._order.assign(start),
            state=state,
            warm_unix_ms=warm_ms,
            revision=announcement.sequence * REVISIONS_PER_SEQUENCE,
            announced_unix_ms=announcement.born_unix_ms,
        )
        log_info(
            "endpoint started",
            endpoint=announcement.id,
            service=announcement.service,
            upstream_version=announcement.version,
            slots=announcement.slots,
            state=state.value,
            born=announcement.born_unix_ms,
            order=self.record.born_unix_ms,
        )
        self._report_start()
        self._on_warmup(announcement.warm_after_s)
        self._report()

    def _set_state(self, state: EndpointState, cause: str, *, force: bool = False) -> None:
        record = self.record
        if record is None or (record.state is state and not force):
            return
        if STATE_RANK[state] < STATE_RANK[record.state]:
            return
        revision = self._find_revision(record)
        self.record = msgspec.structs.replace(record, state=state, revision=revision)
        log_info(
            "endpoint state",
            endpoint=record.id,
            former=record.state.value,
            state=state.value,
            cause=cause,
            sequence=self._sequence.sequence,
        )
        self._report()

    def _report_start(self) -> None:
        record = self.record
        if record is not None:
            self._on_start(record)
            self._started = record

    def _report(self) -> None:
        record = self.record
        if record is not None:
            self._on_change(record)
            self._reported = record

    def _repeat_failed_report(self) -> None:
        """Pass on the record again if that has failed, so that no report is lost for good."""
        record = self.record
        if record is None or self._reported is record:
            return
        if self._started is None or self._started.start != record.start:
            self._report_start()
        self._report()


def _find_start(record: EndpointRecord) -> Start:
    return Start(record.id, record.announced_unix_ms or record.born_unix_ms)
