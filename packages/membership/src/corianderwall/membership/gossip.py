"""Queues of changes for each peer, sent in bounded batches."""

from dataclasses import dataclass, field

from corianderwall.membership.messages import Gossip, Record, Suspicion
from corianderwall.membership.records import pack_records
from corianderwall.membership.settings import MembershipSettings
from corianderwall.model.message import OutgoingMessage

FLUSH_INTERVAL_S = 0.05
"""The minimum time between two batches to one peer."""


@dataclass(slots=True)
class _Queue:
    records: dict[str, Record] = field(default_factory=dict)
    suspicions: dict[tuple[str, str], Suspicion] = field(default_factory=dict)
    next_flush_at: float = 0.0


class GossipQueues:
    """Changes not yet sent to each peer; a newer record of a host replaces the queued one."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._queues: dict[str, _Queue] = {}

    def keep_peers(self, peers: set[str]) -> None:
        """Delete the empty queues of all other peers."""
        self._queues = {
            peer: queue
            for peer, queue in self._queues.items()
            if peer in peers or queue.records or queue.suspicions
        }

    def add_record(self, peer: str, record: Record) -> None:
        """Queue a record for a peer."""
        self._queues.setdefault(peer, _Queue()).records[record.host.name] = record

    def add_suspicion(self, peer: str, suspicion: Suspicion) -> None:
        """Queue a suspicion for a peer."""
        key = (suspicion.accuser, suspicion.subject)
        self._queues.setdefault(peer, _Queue()).suspicions[key] = suspicion

    def drop_known(self, peer: str, records: tuple[Record, ...]) -> None:
        """Drop the queued records that the peer has just sent in the same or a newer version."""
        queue = self._queues.get(peer)
        if queue is None:
            return
        for record in records:
            queued = queue.records.get(record.host.name)
            if queued is not None and queued.order <= record.order:
                del queue.records[record.host.name]

    def flush(self, now: float, *, is_last: bool = False) -> list[OutgoingMessage]:
        """Return one batch for each peer that is due, or for each peer if `is_last`."""
        outgoing = []
        for peer, queue in self._queues.items():
            is_due = is_last or now >= queue.next_flush_at
            if not is_due or not (queue.records or queue.suspicions):
                continue
            queue.next_flush_at = now + FLUSH_INTERVAL_S
            outgoing.append(OutgoingMessage(peer, self._take_batch(queue)))
        return outgoing

    def _take_batch(self, queue: _Queue) -> Gossip:
        names = list(queue.records)[: self._settings.batch_records]
        records = [queue.records.pop(name) for name in names]
        keys = list(queue.suspicions)[: self._settings.batch_suspicions]
        suspicions = tuple(queue.suspicions.pop(key) for key in keys)
        return Gossip(records=pack_records(records) if records else b"", suspicions=suspicions)
