"""The calls of a whole service, asked of the nodes beside its endpoints when it is needed."""

from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from corianderwall.model.message import OutgoingMessage, PeerMessage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.internet.interfaces import IReactorTime

MEMORY_S = 5.0
"""Time in which a past call loses all but 1/e of its weight."""

MIN_WEIGHT_S = 0.5
"""Time over which the first calls of an endpoint are averaged at least."""

RESPONSE_WAIT_S = 0.5


class LoadQuery(PeerMessage, frozen=True, tag="service-load-query"):
    """Asks the owner of an endpoint how much it is used."""

    nonce: int


class LoadResponse(PeerMessage, frozen=True, tag="service-load-answer"):
    """Calls a second at the endpoint beside the sender, and the slots that they keep busy."""

    nonce: int
    calls_per_s: float
    busy_slots: float


MESSAGES: tuple[type[PeerMessage], ...] = (LoadQuery, LoadResponse)


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The calls a second of a service and the slots that they keep busy, over all endpoints."""

    calls_per_s: float
    busy_slots: float


class LoadMeter:
    """Decaying rates of the calls at one endpoint, from all entry nodes."""

    __slots__ = ("_at", "_busy_s", "_calls", "_weight_s")

    def __init__(self, now: float) -> None:
        self._calls = 0.0
        self._busy_s = 0.0
        self._weight_s = 0.0
        self._at = now

    def add(self, calls: int, busy_s: float, now: float) -> None:
        """Count calls that have ended, and the seconds that they took together."""
        self._decay(now)
        self._calls += calls
        self._busy_s += busy_s

    def read(self, now: float) -> ServiceLoad:
        """Return the rates of the last seconds."""
        self._decay(now)
        # Until `MEMORY_S` has passed several times, less time than that bears the weight.
        weight_s = max(self._weight_s, MIN_WEIGHT_S)
        return ServiceLoad(self._calls / weight_s, self._busy_s / weight_s)

    def _decay(self, now: float) -> None:
        factor = exp(min(0.0, self._at - now) / MEMORY_S)
        self._calls *= factor
        self._busy_s *= factor
        if self._calls:
            self._weight_s += (MEMORY_S - self._weight_s) * (1.0 - factor)
        self._at = max(now, self._at)


@dataclass(slots=True)
class _Question:
    missing: set[str]
    done: "Deferred[None]"
    responses: list[ServiceLoad] = field(default_factory=list)


class LoadSurvey:
    """Asks the owners of a service's endpoints and adds up their answers."""

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
        self._questions: dict[int, _Question] = {}

    async def measure(self, owners: "Iterable[str]", own: ServiceLoad) -> ServiceLoad:
        """Return the load over `owners`; `own` stands for this node, silent ones count nothing."""
        names = set(owners)
        peers = names - {self._node}
        self._nonce += 1
        question = _Question(peers, Deferred())
        if self._node in names:
            question.responses.append(own)
        if peers:
            await self._ask(question, sorted(peers))
        return ServiceLoad(
            sum(load.calls_per_s for load in question.responses),
            sum(load.busy_slots for load in question.responses),
        )

    def take_response(self, peer: str, response: LoadResponse) -> None:
        """Count the answer of one owner, once."""
        question = self._questions.get(response.nonce)
        if question is None or peer not in question.missing:
            return
        question.missing.discard(peer)
        question.responses.append(ServiceLoad(response.calls_per_s, response.busy_slots))
        if not question.missing and not question.done.called:
            question.done.callback(None)

    async def _ask(self, question: _Question, peers: list[str]) -> None:
        nonce = self._nonce
        self._questions[nonce] = question
        self._send([OutgoingMessage(peer, LoadQuery(nonce)) for peer in peers])
        question.done.addTimeout(RESPONSE_WAIT_S, self._reactor, onTimeoutCancel=_stop_waiting)
        try:
            await question.done
        finally:
            del self._questions[nonce]


def _stop_waiting(result: object, timeout_s: float) -> None:
    """Go on with the answers that have come."""
