"""The other nodes and all endpoints that this node knows."""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec
import xxhash

from corianderwall.mesh.messages import (
    EndpointRecord,
    EndpointState,
    Heartbeat,
    Load,
    NodeRecord,
    Tables,
)

RETRY_DELAY_MIN_S = 0.4
"""First delay before an unresponsive node is tried again; a few usual response times."""
RETRY_DELAY_MAX_S = 3.0
"""Longest such delay; a node that is back gets calls again within this time."""
OVERHEAD_SMOOTHING_FACTOR = 0.3
"""Weight of the newest response in the mean; a congested link shows after a few responses."""
OVERHEAD_EXPIRY_S = 8.0
"""Age at which a measured overhead no longer counts, so that the link is tried again."""
MAX_LATE_CLASSES = 64
"""Classes of calls above which those that are no longer late are removed from an endpoint's view;
there is one for each route and team."""
GONE_RETENTION_S = 60.0
"""Time for which the record of a gone endpoint is kept; longer than any message is delayed."""


@dataclass(slots=True)
class Peer:
    """Another node and its state as seen from here; times are monotonic seconds."""

    record: NodeRecord
    failures: int = 0
    retry_at: float = 0.0
    config_version: int = 0
    source_ok: bool = True


@dataclass(slots=True)
class NetworkOverhead:
    """The mean network time of responses of one size class, without the time at the owner."""

    mean_ms: float = 0.0
    updated_at: float = -math.inf

    def add_sample(self, overhead_ms: float, now: float) -> None:
        """Add the network time of a response."""
        if now - self.updated_at > OVERHEAD_EXPIRY_S:
            self.mean_ms = overhead_ms
        else:
            self.mean_ms += OVERHEAD_SMOOTHING_FACTOR * (overhead_ms - self.mean_ms)
        self.updated_at = now

    def estimate_ms(self, now: float) -> float:
        """Return the expected network time; older measurements count less."""
        return self.mean_ms * max(0.0, 1.0 - (now - self.updated_at) / OVERHEAD_EXPIRY_S)


@dataclass(slots=True)
class EndpointView:
    """An endpoint with its load; `pending` counts the calls from this node.

    `limit_per_s` is the rate that it last named, also if its owner has restarted since.
    `reports_speed` is set once its host has been slower or faster than usual.

    Its owner has recently refused calls: until `full_until` it is assumed to have no free slot,
    and until the time in `late_until` to be too slow for the deadlines of that class of calls.
    """

    record: EndpointRecord
    load: Load
    load_at: float = 0.0
    changed_at: float = 0.0
    pending: int = 0
    limit_per_s: float | None = None
    deprioritized_until: float = 0.0
    joined_at: float = 0.0
    full_until: float = 0.0
    late_until: dict[str, float] = field(default_factory=dict)
    reports_speed: bool = False
    small_overhead: NetworkOverhead = field(default_factory=NetworkOverhead)
    big_overhead: NetworkOverhead = field(default_factory=NetworkOverhead)

    def mark_late(self, wait_class: str, until: float, now: float) -> None:
        """Record that the owner is too slow for a class of calls, and remove old entries."""
        if len(self.late_until) >= MAX_LATE_CLASSES:
            self.late_until = {key: at for key, at in self.late_until.items() if at > now}
        self.late_until[wait_class] = until


class Directory:
    """Merges records by their own order, so that lost, repeated or late messages do no harm."""

    def __init__(self, own: NodeRecord) -> None:
        self.own = own
        self.peers: dict[str, Peer] = {}
        self.endpoints: dict[str, EndpointView] = {}
        self._by_service: dict[str, list[EndpointView]] = {}
        self._gone_at: dict[str, float] = {}
        self._digest = ""
        self._node_count = 0

    def merge_node(self, record: NodeRecord, now: float) -> bool:
        """Merge the record of a node; return whether it was new."""
        if record.name == self.own.name:
            self._outdo(record)
            return False
        self._node_count = 0
        peer = self.peers.get(record.name)
        if peer is None:
            self.peers[record.name] = Peer(record)
            return True
        if not record.supersedes(peer.record):
            return False
        if record.incarnation != peer.record.incarnation:
            peer.failures = 0
            peer.retry_at = 0.0
            peer.config_version = 0
        peer.record = record
        return True

    def retire_node(self, record: NodeRecord) -> bool:
        """Mark a node as left whose address another one has; return whether it was not yet."""
        peer = self.peers.get(record.name)
        if peer is None or peer.record != record or record.leaving:
            return False
        peer.record = msgspec.structs.replace(record, leaving=True)
        self._node_count = 0
        return True

    def _outdo(self, record: NodeRecord) -> None:
        """Take a later incarnation than an earlier process here, whose clock may have been ahead.

        Peers would otherwise keep that process's record, which may say that it was leaving.
        """
        own = self.own
        if record.incarnation > own.incarnation or (record.supersedes(own) and not own.leaving):
            self.own = msgspec.structs.replace(own, incarnation=record.incarnation + 1)

    def merge_endpoint(self, record: EndpointRecord, now: float) -> bool:
        """Merge the record of an endpoint; return whether it was new."""
        view = self.endpoints.get(record.id)
        if view is not None and not record.supersedes(view.record):
            return False
        if view is None:
            load = Load(slots=record.slots)
            self.endpoints[record.id] = EndpointView(record, load, joined_at=now)
        elif view.record.born_unix_ms != record.born_unix_ms:
            pending = view.pending
            load = Load(slots=record.slots)
            self.endpoints[record.id] = EndpointView(record, load, pending=pending, joined_at=now)
        else:
            view.record = record
        self.endpoints[record.id].changed_at = now
        if record.state is EndpointState.GONE:
            self._gone_at[record.id] = now
        self._reindex()
        return True

    def merge(self, tables: Tables, now: float) -> bool:
        """Merge all records of `tables`; return whether any was new."""
        changed = self.merge_node(tables.sender, now)
        for node in tables.nodes:
            changed |= self.merge_node(node, now)
        for endpoint in tables.endpoints:
            changed |= self.merge_endpoint(endpoint, now)
        return changed

    def make_tables(self) -> Tables:
        """Return all records that this node has."""
        nodes = tuple(peer.record for peer in self.peers.values())
        endpoints = tuple(view.record for view in self.endpoints.values())
        return Tables(sender=self.own, nodes=nodes, endpoints=endpoints)

    def make_recent_tables(self, since: float) -> Tables:
        """Return the endpoint records that have changed here since that time."""
        views = self.endpoints.values()
        recent = tuple(view.record for view in views if view.changed_at >= since)
        return Tables(sender=self.own, endpoints=recent)

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Update a peer and its endpoint from its heartbeat."""
        self.merge_node(heartbeat.node, now)
        peer = self.peers.get(heartbeat.node.name)
        if peer is None:
            return
        peer.config_version = heartbeat.config_version
        peer.source_ok = heartbeat.source_ok
        self.record_response(heartbeat.node.name, now)
        if heartbeat.load is not None:
            self.update_load(heartbeat.endpoint, heartbeat.load, now)

    def update_load(self, endpoint: str, load: Load, now: float) -> None:
        """Update the load of `endpoint` that its owner has reported."""
        view = self.endpoints.get(endpoint)
        if view is not None:
            view.load = load
            view.load_at = now
            view.reports_speed |= load.slowdown != 1.0
            if load.has_responded:
                view.limit_per_s = load.limit_per_s

    def record_response(self, node: str, now: float) -> None:
        """Record that `node` responds."""
        peer = self.peers.get(node)
        if peer is not None:
            peer.failures = 0
            peer.retry_at = 0.0

    def record_failure(self, node: str, now: float) -> None:
        """Record a missing response; the retry delay doubles with each failure in a row."""
        peer = self.peers.get(node)
        if peer is None or (peer.failures and now < peer.retry_at - RETRY_DELAY_MIN_S):
            return
        peer.failures += 1
        peer.retry_at = now + min(RETRY_DELAY_MAX_S, RETRY_DELAY_MIN_S * 2 ** (peer.failures - 1))

    def list_ready(self, service: str) -> list[EndpointView]:
        """Return the endpoints of `service` that may get calls."""
        return [view for view in self._by_service.get(service, ()) if self._is_usable(view)]

    def list_live(self) -> Iterator[Peer]:
        """Return the peers that respond and are not leaving."""
        for peer in self.peers.values():
            if not peer.record.leaving and peer.failures == 0:
                yield peer

    def list_due_retries(self, now: float) -> list[Peer]:
        """Return the unresponsive peers that are due for another try."""
        return [p for p in self.peers.values() if p.failures and now >= p.retry_at]

    def count_nodes(self) -> int:
        """Return the number of known nodes, including this one."""
        if not self._node_count:
            self._node_count = 1 + sum(not peer.record.leaving for peer in self.peers.values())
        return self._node_count

    def compute_digest(self) -> str:
        """Return a digest of all endpoint records; it depends on these records only."""
        if not self._digest:
            lines = sorted(
                f"{r.id}:{r.born_unix_ms}:{r.state}:{r.revision}"
                for r in (view.record for view in self.endpoints.values())
            )
            self._digest = xxhash.xxh3_64_hexdigest("\n".join(lines).encode())
        return self._digest

    def remove_expired(self, now: float) -> None:
        """Remove the records of endpoints that have been gone for long enough."""
        for name, since in list(self._gone_at.items()):
            if now - since > GONE_RETENTION_S:
                del self._gone_at[name]
                view = self.endpoints.get(name)
                if view is not None and view.record.state is EndpointState.GONE:
                    del self.endpoints[name]
                    self._reindex()

    def _is_usable(self, view: EndpointView) -> bool:
        node = view.record.node
        if node == self.own.name:
            return not self.own.leaving
        peer = self.peers.get(node)
        # An unresponsive node is tested with heartbeats only, so that no call is lost on it.
        return peer is not None and not peer.record.leaving and peer.failures == 0

    def _reindex(self) -> None:
        self._digest = ""
        self._by_service = {}
        for view in self.endpoints.values():
            if view.record.state is EndpointState.READY:
                self._by_service.setdefault(view.record.service, []).append(view)


def list_node_endpoints(records: Iterable[EndpointRecord], node: str) -> list[EndpointRecord]:
    """Return the records of the endpoints beside `node`, the most recently started first."""
    own = [record for record in records if record.node == node]
    return sorted(own, key=lambda record: record.born_unix_ms, reverse=True)
