"""Tells other nodes which requests ran at endpoints that crashed, and learns it from them."""

from typing import TYPE_CHECKING

from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.traffic.suspects import SuspectRecord

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from corianderwall.traffic.suspects import Suspects

QUERY_INTERVAL_S = 5.0
"""Interval at which another node is asked; makes up for lost notices and after a start."""
MAX_RECORDS = 50
"""Records in one notice; about 8 kB, those of requests in quarantine first."""


class SuspectQuery(PeerMessage, frozen=True, tag="suspect-query"):
    """Asks for the receiver's records if they differ from those with this digest."""

    digest: str


class SuspectNotice(PeerMessage, frozen=True, tag="suspect-notice"):
    """Records that have changed, or some of those of the sender."""

    records: tuple[SuspectRecord, ...]


class SuspectExchange:
    """Keeps the suspects of all nodes the same, as far as messages arrive."""

    def __init__(
        self,
        suspects: "Suspects",
        list_peers: "Callable[[], list[str]]",
        random: "Random",
    ) -> None:
        self._suspects = suspects
        self._list_peers = list_peers
        self._random = random
        self._next_query_at = float("-inf")
        self._unshared: dict[str, SuspectRecord] = {}

    def share(self, records: tuple[SuspectRecord, ...]) -> list[OutgoingMessage]:
        """Return the messages that tell all nodes of a change, if it includes a crash.

        Other changes are sent with the next tick: after a crash most of its suspects are answered
        within a moment.
        """
        self._unshared.update((record.fingerprint, record) for record in records)
        return self._send_unshared() if any(record.crashes for record in records) else []

    def receive_notice(self, notice: SuspectNotice, now: float) -> None:
        """Merge the records of another node."""
        self._suspects.merge(notice.records, now)

    def answer_query(self, peer: str, query: SuspectQuery, now: float) -> list[OutgoingMessage]:
        """Return this node's records if the asking node has other ones."""
        if query.digest == self._suspects.compute_digest() or self._suspects.is_empty:
            return []
        records = sorted(
            self._suspects.list_records(now), key=lambda each: (-len(each.crashes), each.age_s)
        )
        return [OutgoingMessage(peer, SuspectNotice(tuple(records[:MAX_RECORDS])))]

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Send what waits, ask one node if it is time to, and forget what is too old."""
        return self._send_unshared() + self._query(now)

    def _send_unshared(self) -> list[OutgoingMessage]:
        records, self._unshared = tuple(self._unshared.values()), {}
        if not records:
            return []
        notice = SuspectNotice(records)
        return [OutgoingMessage(peer, notice) for peer in self._list_peers()]

    def _query(self, now: float) -> list[OutgoingMessage]:
        if now < self._next_query_at:
            return []
        self._suspects.remove_expired(now)
        peers = self._list_peers()
        if not peers:
            return []
        self._next_query_at = now + QUERY_INTERVAL_S * self._random.uniform(0.8, 1.2)
        query = SuspectQuery(self._suspects.compute_digest())
        return [OutgoingMessage(self._random.choice(peers), query)]


MESSAGES: tuple[type[PeerMessage], ...] = (SuspectQuery, SuspectNotice)
"""All messages of this module, for the node's decoder."""
