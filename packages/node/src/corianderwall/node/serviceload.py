"""Measures the load of a service on demand by querying the owners of its endpoints."""

from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from corianderwall.model.message import OutgoingMessage, PeerMessage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.interfaces import IReactorTime

DECAY_TIME_S = 5.0
"""Time constant of the decay: a call's weight falls to 1/e in this time."""

MIN_AVERAGING_TIME_S = 0.5
"""Shortest time over which the first calls of an endpoint are averaged."""

RESPONSE_WAIT_S = 0.5


class LoadQuery(PeerMessage, frozen=True, tag="service-load-query"):
    """Asks the owner of an endpoint for the load of that endpoint."""

    nonce: int


class LoadResponse(PeerMessage, frozen=True, tag="service-load-answer"):
    """The calls per second at the endpoint beside the sender, and the slots they occupy."""

    nonce: int
    calls_per_s: float
    busy_slots: float


MESSAGES: tuple[type[PeerMessage], ...] = (LoadQuery, LoadResponse)


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The calls per second and the occupied slots of a service or of one endpoint."""

    calls_per_s: float
    busy_slots: float


class LoadMeter:
    """Exponentially decaying averages of the calls at one endpoint, from all entry nodes."""

    __slots__ = ("_at", "_averaging_time_s", "_busy_s", "_calls")

    def __init__(self, now: float) -> None:
        self._calls = 0.0
        self._busy_s = 0.0
        self._averaging_time_s = 0.0
        self._at = now

    def add(self, calls: int, busy_s: float, now: float) -> None:
        """Count calls that have ended; `busy_s` is the sum of their durations."""
        self._decay(now)
        self._calls += calls
        self._busy_s += busy_s

    def read(self, now: float) -> ServiceLoad:
        """Return the current averages."""
        self._decay(now)
        # The averaging time approaches `DECAY_TIME_S` only after several times that long.
        averaging_time_s = max(self._averaging_time_s, MIN_AVERAGING_TIME_S)
        return ServiceLoad(self._calls / averaging_time_s, self._busy_s / averaging_time_s)

    def _decay(self, now: float) -> None:
        factor = exp(min(0.0, self._at - now) / DECAY_TIME_S)
        self._calls *= factor
        self._busy_s *= factor
        if self._calls:
            self._averaging_time_s += (DECAY_TIME_S - self._averaging_time_s) * (1.0 - factor)
        self._at = max(now, self._at)


@dataclass(slots=True)
class _PendingQuery:
    awaited: set[str]
    done: "Deferred[None]"
    responses: list[ServiceLoad] = field(default_factory=list)


class LoadSurvey:
    """Queries the owners of a service's endpoints and sums up their responses."""

    def __init__(
        self,
        *,
        node: str,
        reactor: "IReactorTime",
        send: "Callable[[Iterable[OutgoingMessage]], None]",
    ) -> None:
        self._node = node
        self._reactor = reactor
        self._send = send
        self._nonce = 0
        self._pending: dict[int, _PendingQuery] = {}

    async def measure(self, owners: "Iterable[str]", own: ServiceLoad) -> ServiceLoad:
        """Return the load over `owners`, without those that do not respond in time.

        `own` is the load of this node, used if it is one of them.
        """
        names = set(owners)
        peers = names - {self._node}
        self._nonce += 1
        query = _PendingQuery(peers, Deferred())
        if self._node in names:
            query.responses.append(own)
        if peers:
            await self._await_responses(query, sorted(peers))
        return ServiceLoad(
            sum(load.calls_per_s for load in query.responses),
            sum(load.busy_slots for load in query.responses),
        )

    def take_response(self, peer: str, response: LoadResponse) -> None:
        """Record the response of an owner; ignore late and repeated ones."""
        query = self._pending.get(response.nonce)
        if query is None or peer not in query.awaited:
            return
        query.awaited.discard(peer)
        query.responses.append(ServiceLoad(response.calls_per_s, response.busy_slots))
        if not query.awaited and not query.done.called:
            query.done.callback(None)

    async def _await_responses(self, query: _PendingQuery, peers: list[str]) -> None:
        nonce = self._nonce
        self._pending[nonce] = query
        self._send([OutgoingMessage(peer, LoadQuery(nonce)) for peer in peers])
        query.done.addTimeout(RESPONSE_WAIT_S, self._reactor, onTimeoutCancel=_stop_waiting)
        try:
            await query.done
        finally:
            del self._pending[nonce]


def _stop_waiting(result: object, timeout_s: float) -> None:
    """Do nothing, so that the query ends with the responses received so far."""
