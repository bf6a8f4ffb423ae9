"""Takes the calls of this host's callers and finds an owner for each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from twisted.internet.defer import CancelledError, Deferred

from corianderwall.httpflow.call import IncomingCall
from corianderwall.mesh.body import BodyReader
from corianderwall.mesh.configuration import ConfigurationHolder
from corianderwall.mesh.directory import Directory, EndpointView
from corianderwall.mesh.gate import RunningCall
from corianderwall.mesh.messages import AnswerMetadata, CallMetadata, Refusal
from corianderwall.mesh.moves import MoveTracker
from corianderwall.mesh.owner import ForwardedRequest, Owner, OwnerAnswer
from corianderwall.mesh.patience import PatienceMemory
from corianderwall.mesh.peerlink import PeerLink, RemoteOwner, strip_own_headers
from corianderwall.mesh.refusals import UNREADY_S, compute_retry_after, encode_seconds
from corianderwall.mesh.retrybudget import RetryBudget
from corianderwall.mesh.selection import (
    BIG_ROUNDS,
    ROUNDS,
    AskingRound,
    CallShape,
    choose_endpoint,
    list_candidates,
)
from corianderwall.mesh.settings import HeaderNames, HostSettings
from corianderwall.mesh.sizes import AnswerSizes
from corianderwall.mesh.splits import WeightedSplit
from corianderwall.mesh.tasks import run_call
from corianderwall.model.resource import Route
from corianderwall.node.logs import LogBudget, log_info
from corianderwall.node.metrics import CallMetrics

FULL_S = 0.05
"""Time for which a refusal for want of a slot is believed; a part of the time of a call."""
LATE_S = 0.15
"""Time for which a refusal for want of time is believed; queues are about that long."""
BIG_ANSWER_BYTES = 16_384
"""Mean size from which the answers of a route count as big."""
REST_S = 0.3
"""Time for which an endpoint that shed or lost a call is given others' calls last."""
CALL_LINES_PER_S = 300
"""Log lines of calls in a second; about five times the calls of a host."""
SERVER_ERROR = 500


@dataclass(slots=True)
class _CallState:
    """One call on its way; instants are monotonic seconds.

    A nested call is of use until its deadline: refusing it fails the call that runs and needs it.
    """

    route: Route
    service: str
    request: ForwardedRequest
    deadline: float
    caller_deadline: float
    due: float
    began: float
    parent: RunningCall | None
    repeat: bool
    given_up: set[str] = field(default_factory=set)
    reached: int = 0
    refused_wait_ms: list[float] = field(default_factory=list)
    trail: list[str] = field(default_factory=list)
    failure: OwnerAnswer | None = None

    @property
    def nested(self) -> bool:
        """Return whether a running call needs this one."""
        return self.parent is not None

    def note_end(self, status: int) -> None:
        """Tell the running call that needs this one if it will miss the answer."""
        if self.parent is not None and not 200 <= status < 300:
            self.parent.starved = True


class Entry:
    """Handles the calls of callers; at most one owner holds a call at any time."""

    def __init__(
        self,
        settings: HostSettings,
        headers: HeaderNames,
        directory: Directory,
        configuration: ConfigurationHolder,
        link: PeerLink,
        own: Owner,
        find_parent: Callable[[bytes], RunningCall | None],
        moves: MoveTracker,
        metrics: CallMetrics,
        random: Random,
    ) -> None:
        self._settings = settings
        self._headers = headers
        self._directory = directory
        self._configuration = configuration
        self._link = link
        self._own = own
        self._find_parent = find_parent
        self._moves = moves
        self._metrics = metrics
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._splits = WeightedSplit(random)
        bounds = settings.bounds
        self._budget = RetryBudget(
            ratio=bounds.retry_ratio, slack=bounds.retry_slack, window_s=bounds.retry_window_s
        )
        self._patience = PatienceMemory()
        self.lines = LogBudget(CALL_LINES_PER_S)
        self._sizes = AnswerSizes()
        self._latest_end = float("inf")
        self._searches: set[Deferred[OwnerAnswer | None]] = set()

    def end_by(self, latest_end: float) -> None:
        """Give no call more time than until `latest_end`, a monotonic second; this node ends then.

        Calls that run already are answered by then too: a closed connection tells callers less.
        """
        self._latest_end = latest_end
        for search in self._searches:
            self._loop.call_at(latest_end, search.cancel)

    def handle(self, call: IncomingCall) -> None:
        """Start to work on `call`."""
        run_call(call, self._answer(call))

    async def _answer(self, call: IncomingCall) -> None:
        began = self._loop.time()
        request_id = call.find_header(self._headers.request_id) or b""
        table = self._configuration.table
        if table is None:
            self._refuse_early(call, request_id, 503, "no configuration")
            return
        target = call.target.decode("latin-1")
        route = table.match(call.host.decode("latin-1"), target)
        if route is None:
            self._refuse_early(call, request_id, 404, "no route")
            return
        limit = self._configuration.snapshot.limits.max_body_bytes
        body = await BodyReader(call, limit).read()
        if body is None:
            cause = "the body is too large" if call.is_open else "caller left"
            self._refuse_early(call, request_id, 413, cause)
            return
        given_s = self._read_left_s(call)
        deadline = min(began + min(given_s, route.timeout_ms / 1000), self._latest_end)
        parent = self._find_parent(request_id)
        due = deadline
        if parent is None:
            used_s = self._patience.read_used_s(route.name, given_s)
            due = began + route.objective_ms / 1000 - used_s
        state = _CallState(
            route=route,
            service=self._splits.pick(route),
            request=ForwardedRequest(request_id, call.method, call.target, self._strip(call), body),
            deadline=deadline,
            caller_deadline=began + given_s,
            due=due,
            began=began,
            parent=parent,
            repeat=parent is not None and parent.repeat,
        )
        if parent is None:
            # The fleet's budget is a part of what callers ask for, not of what their calls need.
            self._budget.count_request(state.service, began)
        if state.repeat:
            self._budget.charge(state.service, began)
        self._metrics.running += 1
        search = Deferred.fromCoroutine(self._find_answer(state))
        timer = self._loop.call_at(deadline, search.cancel)
        self._searches.add(search)
        try:
            answer = await search
        except CancelledError:
            if call.is_open:
                self._finish(call, state, 504, "deadline")
            else:
                self._log(state, 0, "caller left")
            return
        finally:
            timer.cancel()
            self._searches.discard(search)
            self._metrics.running -= 1
        self._deliver(call, state, answer)

    # The way to an answer.

    async def _find_answer(self, state: _CallState) -> OwnerAnswer | None:
        """Return the answer, or None if the call was refused everywhere."""
        for round_ in BIG_ROUNDS if self._make_shape(state.route).big else ROUNDS:
            passed_over = set(state.given_up)
            for _ in range(round_.tries):
                view = self._choose(state, passed_over, round_)
                if view is None:
                    break
                passed_over.add(view.record.id)
                told = await self._ask(state, view, may_wait=round_.may_wait)
                if self._is_final(state, told):
                    return told
        return state.failure

    def _choose(
        self, state: _CallState, passed_over: set[str], round_: AskingRound
    ) -> EndpointView | None:
        now = self._loop.time()
        views = self._directory.list_ready(state.service)
        views = self._moves.filter_endpoints(state.service, views, now)
        shape = self._make_shape(state.route)
        # A nested call asks in spite of refusals: the running call needs it.
        route = "" if state.nested else state.route.name
        views = list_candidates(views, shape, round_, route, now)
        return choose_endpoint(views, shape, passed_over, now, self._random)

    def _make_shape(self, route: Route) -> CallShape:
        return CallShape(
            zone=self._settings.zone,
            objective_ms=route.objective_ms,
            big=self._sizes.estimate(route.name) > BIG_ANSWER_BYTES,
        )

    async def _ask(self, state: _CallState, view: EndpointView, *, may_wait: bool) -> OwnerAnswer:
        record = view.record
        route = state.route
        now = self._loop.time()
        note = CallMetadata(
            endpoint=record.id,
            left_ms=round((state.deadline - now) * 1000, 1),
            due_ms=round((state.due - now) * 1000, 1),
            priority=route.priority,
            caller=self._settings.service,
            nested=state.nested,
            repeat=state.repeat or state.reached > 0,
            may_wait=may_wait,
            idempotent=bool(route.idempotent),
            route=route.name,
            over_link=record.node != self._settings.name,
        )
        owner: Owner = self._own
        if note.over_link:
            owner = RemoteOwner(self._link, self._directory.peers[record.node].record)
        view.pending += 1
        try:
            told = await owner.serve(note, state.request)
        finally:
            view.pending -= 1
        self._learn(state, view, told.note)
        if told.note.ran:
            ended = self._loop.time()
            overhead = view.big_overhead if self._make_shape(route).big else view.small_overhead
            overhead.add_sample(max(0.0, (ended - now) * 1000 - told.note.took_ms), ended)
        return told

    def _learn(self, state: _CallState, view: EndpointView, note: AnswerMetadata) -> None:
        now = self._loop.time()
        if note.load.slots:
            self._directory.update_load(view.record.id, note.load, now)
        outcome = note.refusal.value if note.refusal is not None else "ran" if note.ran else "lost"
        state.trail.append(f"{view.record.id} {outcome}")
        if note.refusal is Refusal.FULL:
            view.full_until = now + FULL_S
        elif note.refusal is Refusal.LATE:
            state.refused_wait_ms.append(note.wait_ms)
            view.late_until[state.route.name] = now + LATE_S
        else:
            state.given_up.add(view.record.id)
            state.reached += note.reached
        if note.ran is None or note.refusal in (Refusal.SHED, Refusal.DOWN, Refusal.UNKNOWN):
            view.deprioritized_until = now + REST_S

    def _is_final(self, state: _CallState, told: OwnerAnswer) -> bool:
        """Return whether `told` ends the call; otherwise another owner may be asked."""
        note = told.note
        if note.ran is False:
            if note.refusal is not Refusal.SHED:
                return False
            return not self._may_repeat(state)
        answer = told.answer
        if answer is not None and answer.status < SERVER_ERROR:
            return True
        state.failure = told
        return not (state.route.idempotent and self._may_repeat(state))

    def _may_repeat(self, state: _CallState) -> bool:
        if state.reached >= state.route.max_attempts:
            return False
        nodes = self._directory.count_nodes()
        return self._budget.take(state.service, self._loop.time(), nodes)

    # The way back.

    def _deliver(self, call: IncomingCall, state: _CallState, told: OwnerAnswer | None) -> None:
        if told is None or told.note.ran is False:
            waits = state.refused_wait_ms
            self._finish(call, state, 503, "refused", min(waits) / 1000 if waits else UNREADY_S)
        elif told.answer is None:
            late = self._loop.time() >= state.deadline
            self._finish(call, state, 504 if late else 502, "answer lost")
        else:
            answer = told.answer
            self._sizes.note(state.route.name, len(answer.body))
            call.respond(answer.status, answer.headers, answer.body)
            self._log(state, answer.status, "answered")

    def _finish(
        self, call: IncomingCall, state: _CallState, status: int, cause: str, wait_s: float = 0.0
    ) -> None:
        headers = [(self._headers.request_id, state.request.request_id)]
        if status == 503:
            now = self._loop.time()
            after_s = compute_retry_after(
                wait_s,
                self._random,
                left_s=state.caller_deadline - now,
                timely_s=state.due - now,
            )
            headers.append((self._headers.retry_after, encode_seconds(after_s)))
        call.respond(status, headers)
        self._log(state, status, cause)

    def _refuse_early(self, call: IncomingCall, request_id: bytes, status: int, cause: str) -> None:
        headers = [(self._headers.request_id, request_id)]
        if status == 503:
            after_s = compute_retry_after(UNREADY_S, self._random)
            headers.append((self._headers.retry_after, encode_seconds(after_s)))
        parent = self._find_parent(request_id)
        if parent is not None:
            parent.starved = True
        if call.is_open:
            call.respond(status, headers)
        if not self.lines.take(self._loop.time()):
            return
        log_info(
            "call ended",
            request=request_id.decode("latin-1"),
            status=status,
            cause=cause,
            host=call.host.decode("latin-1"),
            target=call.target.decode("latin-1"),
            config_version=self._configuration.snapshot.version,
        )

    def _log(self, state: _CallState, status: int, cause: str) -> None:
        state.note_end(status)
        now = self._loop.time()
        took_s = now - state.began
        self._metrics.count_call(state.service, "", status, took_s)
        if not self.lines.take(now):
            return
        log_info(
            "call ended",
            request=state.request.request_id.decode("latin-1"),
            status=status,
            cause=cause,
            route=state.route.name,
            service=state.service,
            nested=state.nested,
            trail=state.trail,
            took_ms=round(took_s * 1000, 1),
            left_ms=round((state.deadline - now) * 1000, 1),
            config_version=self._configuration.snapshot.version,
        )

    def _read_left_s(self, call: IncomingCall) -> float:
        raw = call.find_header(self._headers.deadline_ms)
        try:
            return int(raw) / 1000 if raw is not None else float("inf")
        except ValueError:
            return float("inf")

    def _strip(self, call: IncomingCall) -> list[tuple[bytes, bytes]]:
        names = self._headers
        own = {names.deadline_ms, names.expected_instance, names.caller}
        return [header for header in strip_own_headers(call.headers) if header[0] not in own]
