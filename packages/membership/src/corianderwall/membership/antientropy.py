"""Repair of views that still differ after gossip had time to arrive."""

from corianderwall.membership.messages import BucketKeys, Heartbeat, RecordsWanted, ViewSummary
from corianderwall.membership.records import BUCKETS
from corianderwall.membership.view import View
from corianderwall.model.message import OutgoingMessage

DIFFERING_HEARTBEATS = 2
"""The number of consecutive heartbeats with a different digest after which the views are
compared."""


class AntiEntropy:
    """Compares bucket digests, then record keys, then exchanges the newer records of each side."""

    def __init__(self, view: View) -> None:
        self._view = view
        self._differing: dict[tuple[str, str], int] = {}

    def compare_digests(self, peer: str, heartbeat: Heartbeat) -> list[OutgoingMessage]:
        """Compare the digests in a peer's heartbeat and start a repair if they keep differing."""
        table, suspicions = self._view.table, self._view.suspicions
        if self._differs_repeatedly(
            peer, "suspicions", heartbeat.suspicion_digest != suspicions.digest
        ):
            for suspicion in suspicions.list_all():
                self._view.queues.add_suspicion(peer, suspicion)
        if self._differs_repeatedly(peer, "records", heartbeat.view_digest != table.digest):
            return [OutgoingMessage(peer, ViewSummary(table.buckets))]
        return []

    def _differs_repeatedly(self, peer: str, subject: str, is_different: bool) -> bool:
        key = (peer, subject)
        if not is_different:
            self._differing.pop(key, None)
            return False
        self._differing[key] = self._differing.get(key, 0) + 1
        if self._differing[key] < DIFFERING_HEARTBEATS:
            return False
        del self._differing[key]
        return True

    def compare_buckets(self, peer: str, summary: ViewSummary) -> list[OutgoingMessage]:
        """Respond with the record keys of the buckets that differ."""
        mine = self._view.table.buckets
        if len(summary.buckets) != BUCKETS:
            return []
        indexes = tuple(index for index in range(BUCKETS) if mine[index] != summary.buckets[index])
        if not indexes:
            return []
        return [OutgoingMessage(peer, BucketKeys(indexes, self._view.table.list_keys(indexes)))]

    def compare_keys(self, peer: str, message: BucketKeys) -> list[OutgoingMessage]:
        """Queue the records that are newer here and request those that are newer at the peer."""
        theirs = {key.name: key.order for key in message.keys}
        mine = {key.name: key.order for key in self._view.table.list_keys(message.indexes)}
        to_send = [
            name for name, order in mine.items() if name not in theirs or order > theirs[name]
        ]
        wanted = [name for name, order in theirs.items() if name not in mine or order > mine[name]]
        self._view.queue_records(peer, to_send)
        return [OutgoingMessage(peer, RecordsWanted(tuple(wanted)))] if wanted else []
