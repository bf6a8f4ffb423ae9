"""Accepts the calls of this host's callers and sends each to an owner."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from twisted.internet.defer import CancelledError, Deferred

from corianderwall.httpflow.call import IncomingCall
from corianderwall.mesh.authentication import (
    ANONYMOUS,
    DENIAL_STATUSES,
    Authenticator,
    Denial,
    Identity,
)
from corianderwall.mesh.body import BodyFailure, BodyReader
from corianderwall.mesh.bodymemory import BodyMemory
from corianderwall.mesh.callertimeouts import CallerTimeouts
from corianderwall.mesh.configuration import ConfigurationHolder
from corianderwall.mesh.directory import Directory, EndpointView
from corianderwall.mesh.evacuationsync import EvacuationSync
from corianderwall.mesh.exchange import Response
from corianderwall.mesh.gate import RunningCall
from corianderwall.mesh.messages import CallMetadata, Refusal, ResponseMetadata
from corianderwall.mesh.moves import MoveTracker
from corianderwall.mesh.owner import ForwardedRequest, Owner, OwnerResponse, ReceivedBody
from corianderwall.mesh.pacedchoice import estimate_paced_wait, record_paced_refusal
from corianderwall.mesh.peerlink import PeerLink, RemoteOwner, strip_own_headers
from corianderwall.mesh.probing import ProbePolicy
from corianderwall.mesh.quotaexchange import CallQuota, OverQuota, QuotaExchange
from corianderwall.mesh.ranks import Standing
from corianderwall.mesh.retryafter import DEFAULT_RETRY_AFTER_S, compute_retry_after, encode_seconds
from corianderwall.mesh.retrybudget import RetryBudget
from corianderwall.mesh.selection import (
    BIG_ROUNDS,
    ROUNDS,
    CallTraits,
    SelectionRound,
    choose_endpoint,
    list_candidates,
)
from corianderwall.mesh.settings import HeaderNames, HostSettings
from corianderwall.mesh.sizes import ResponseSizes
from corianderwall.mesh.splits import WeightedSplit
from corianderwall.mesh.stopplan import NO_STOP, StopPlan
from corianderwall.mesh.tasks import run_call
from corianderwall.mesh.teams import identify_caller, make_wait_class
from corianderwall.mesh.turns import wait_for_turn
from corianderwall.model.promises import choose_status
from corianderwall.model.resource import Route, Team
from corianderwall.model.verdict import Verdict
from corianderwall.node.logs import LogBudget, log_info
from corianderwall.node.metrics import CallMetrics
from corianderwall.traffic.suspects import Suspects, choose_for_trial

AVOID_WHEN_FULL_S = 0.05
"""How long an endpoint without a free slot is not asked for one; shorter than a typical call."""
AVOID_WHEN_LIMITED_S = 1.0
"""Longest time for which an endpoint that has named a rate limit is not asked for a slot."""
AVOID_WHEN_LATE_S = 0.15
"""How long an endpoint whose queue is too long is not asked to queue; about one queue length."""
DEPRIORITIZE_S = 0.3
"""How long an endpoint that shed or lost a call is chosen last."""
CALL_LOG_LINES_PER_S = 300
"""Limit on log lines about calls per second; about five times the call rate of a host."""
SERVER_ERROR = 500
BODY_FAILURE_STATUSES = {
    BodyFailure.TOO_LARGE: 413,
    BodyFailure.NO_MEMORY: 503,
    BodyFailure.LATE: 408,
    BodyFailure.INCOMPLETE: 400,
}
"""The status of a call without its body; only a caller that has left never gets it."""


@dataclass(slots=True)
class _CallState:
    """The state of a call at the entry; instants are monotonic seconds.

    `began` is when the call was received, `waited_s` how long calls of its connection came first.
    `version` is the version of the endpoint whose owner was asked last, empty before that.
    `try_new` allows the new version of a running move; it is None until it is decided.

    `identity` holds the team whose key the caller has sent; a nested call has none of its own.

    `ends_by` is when the caller and the route give the call up; `deadline` may be earlier, if this
    node stops. `verdict` says whether an endpoint has run the call, in any attempt.

    A nested call has no latency objective before its deadline: refusing it would fail the running
    call that made it.
    """

    route: Route
    service: str
    request: ForwardedRequest
    deadline: float
    ends_by: float
    caller_deadline: float
    due: float
    began: float
    parent: RunningCall | None
    is_retry: bool
    waited_s: float = 0.0
    unusable: set[str] = field(default_factory=set)
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    refused_wait_ms: list[float] = field(default_factory=list)
    trail: list[str] = field(default_factory=list)
    failure: OwnerResponse | None = None
    body_received: bool = False
    body: bytes = b""
    version: str = ""
    fingerprint: str = ""
    quarantined: bool = False
    try_new: bool | None = None
    identity: Identity = ANONYMOUS
    key_withdrawn: bool = False
    came_late: bool = False
    quota: CallQuota | None = None

    @property
    def team(self) -> Team | None:
        """Return the team whose key the caller has sent, None without one."""
        return self.identity.team

    @property
    def standing(self) -> Standing:
        """Return for whom the call is made, which is its parent's team for a nested one."""
        if self.parent is not None and self.parent.standing is not None:
            return self.parent.standing
        if self.team is None:
            return Standing(priority=self.route.priority)
        return Standing(self.team.name, self.team.priority, self.route.priority)

    @property
    def nested(self) -> bool:
        """Return whether a running call made this one."""
        return self.parent is not None

    def record_verdict(self, ran: bool | None) -> None:
        """Record whether an endpoint has run the call in an attempt, None if nobody knows."""
        if ran:
            self.verdict = Verdict.RAN
        elif ran is None and self.verdict is Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN

    def report_end(self, status: int, *, refused_cold: bool) -> None:
        """Tell the parent call how this nested call has ended."""
        if self.parent is None:
            return
        if 200 <= status < 300:
            self.parent.nested_served = True
        else:
            self.parent.nested_failed = True
            self.parent.nested_refused |= refused_cold


class Entry:
    """Handles the calls of callers; at most one owner has a call at any time.

    `withheld` counts by status the responses of endpoints that callers did not get, as they promise
    that a call that ran has not.
    """

    def __init__(
        self,
        settings: HostSettings,
        headers: HeaderNames,
        directory: Directory,
        configuration: ConfigurationHolder,
        link: PeerLink,
        local_owner: Owner,
        find_parent: Callable[[bytes], RunningCall | None],
        moves: MoveTracker,
        suspects: Suspects,
        metrics: CallMetrics,
        body_memory: BodyMemory,
        random: Random,
        evacuations: EvacuationSync,
        quotas: QuotaExchange | None = None,
    ) -> None:
        self._quotas = quotas
        self._settings = settings
        self._evacuations = evacuations
        self._headers = headers
        self._directory = directory
        self._configuration = configuration
        self._link = link
        self._local_owner = local_owner
        self._find_parent = find_parent
        self._moves = moves
        self._suspects = suspects
        self._metrics = metrics
        self._body_memory = body_memory
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._splits = WeightedSplit(random)
        self.authenticator = Authenticator(
            headers,
            lambda: configuration.teams,
            lambda: configuration.freshness.is_fresh(self._loop.time()),
        )
        bounds = settings.bounds
        self._budget = RetryBudget(
            ratio=bounds.retry_ratio, slack=bounds.retry_slack, window_s=bounds.retry_window_s
        )
        self._caller_timeouts = CallerTimeouts()
        self.log_budget = LogBudget(CALL_LOG_LINES_PER_S)
        self.withheld: Counter[int] = Counter()
        self._sizes = ResponseSizes()
        self._probes = ProbePolicy()
        self._stop_plan = NO_STOP
        self._pending: set[Deferred[OwnerResponse | None]] = set()

    def use_settings(self, settings: HostSettings) -> None:
        """Use changed settings, from the next call on."""
        self._settings = settings

    def begin_stop(self, plan: StopPlan) -> None:
        """End all calls as `plan` says, and send no late one that may not end by then.

        This includes calls in progress: a response is more useful to callers than a closed
        connection.
        """
        self._stop_plan = plan
        for pending in self._pending:
            self._loop.call_at(plan.latest_response, pending.cancel)

    def handle(self, call: IncomingCall) -> None:
        """Start handling `call`."""
        run_call(call, self._handle_call(call))

    async def _handle_call(self, call: IncomingCall) -> None:
        request_id = call.find_header(self._headers.request_id) or b""
        route = self._find_route(call, request_id)
        table = self._configuration.table
        if route is None or not await self._await_turn(call, request_id, route):
            return
        if self._configuration.table is not table:
            # The configuration has changed while the call waited.
            route = self._find_route(call, request_id)
            if route is None:
                return
        identity = await self._authenticate(call, request_id, route)
        if identity is None:
            return
        limit = self._configuration.snapshot.limits.max_body_bytes
        body = BodyReader(call, limit, self._body_memory)
        if not body.admit():
            self._refuse_body(call, request_id, body)
            return
        state = self._make_state(call, request_id, route)
        state.identity = identity
        if self._comes_late(state):
            body.release()
            self._respond_stopping(call, state)
            return
        if self._quotas is not None and identity.team is not None:
            state.quota = CallQuota(self._quotas, identity.team.name)
        await self._run_call(call, state, body)

    async def _run_call(self, call: IncomingCall, state: _CallState, body: BodyReader) -> None:
        """Read the body of a call, send it to owners and respond to it."""
        self._metrics.running += 1
        pending = Deferred.fromCoroutine(self._read_and_send(state, body))
        timer = self._loop.call_at(state.deadline, pending.cancel)
        self._pending.add(pending)
        try:
            response = await pending
        except CancelledError:
            self._respond_cancelled(call, state)
            return
        finally:
            timer.cancel()
            self._pending.discard(pending)
            self._metrics.running -= 1
            body.release()
            if state.quota is not None:
                state.quota.end()
        if state.body_received:
            self._respond(call, state, response)
        else:
            self._refuse_body(call, state.request.request_id, body)

    def _find_route(self, call: IncomingCall, request_id: bytes) -> Route | None:
        """Return the route of `call`, or refuse it and return None."""
        table = self._configuration.table
        if table is None:
            self._refuse_early(call, request_id, 503, "no configuration")
            return None
        route = table.match(call.host.decode("latin-1"), call.target.decode("latin-1"))
        if route is None:
            self._refuse_early(call, request_id, 404, "no route")
        return route

    async def _authenticate(
        self, call: IncomingCall, request_id: bytes, route: Route
    ) -> Identity | None:
        """Return who makes `call`, or refuse it and return None."""
        if not self.authenticator.is_active:
            return ANONYMOUS
        nested = self._find_parent(request_id) is not None
        result = await self.authenticator.authenticate(
            call.headers, public=route.public, nested=nested
        )
        if isinstance(result, Denial):
            self._refuse_early(call, request_id, DENIAL_STATUSES[result], result.value)
            return None
        return result

    async def _await_turn(self, call: IncomingCall, request_id: bytes, route: Route) -> bool:
        """Return whether the call may run now; a call that is not idempotent runs alone.

        A call whose time has passed behind others of its connection is refused.
        """
        deadline = call.received_at + self._read_timeout_s(call)
        try:
            came = route.idempotent or await wait_for_turn(call, deadline)
        except CancelledError:
            self._refuse_early(call, request_id, 0, "caller left before its turn")
            raise
        now = self._loop.time()
        if came and now <= max(call.received_at, min(deadline, self._stop_plan.latest_response)):
            return True
        self._refuse_early(call, request_id, 503, "late behind calls of its connection")
        return False

    def _make_state(self, call: IncomingCall, request_id: bytes, route: Route) -> _CallState:
        timeout_s = self._read_timeout_s(call)
        began = call.received_at
        now = self._loop.time()
        ends_by = min(began + timeout_s, now + route.timeout_ms / 1000)
        deadline = min(ends_by, self._stop_plan.latest_response)
        parent = self._find_parent(request_id)
        due = deadline
        if parent is None:
            elapsed_s = self._caller_timeouts.estimate_elapsed_s(route.name, timeout_s)
            due = began + route.objective_ms / 1000 - elapsed_s
        state = _CallState(
            route=route,
            service=self._splits.pick(route),
            request=ForwardedRequest(
                request_id, call.method, call.target, self._strip_headers(call)
            ),
            deadline=deadline,
            ends_by=ends_by,
            caller_deadline=began + timeout_s,
            due=due,
            began=began,
            parent=parent,
            is_retry=parent is not None and parent.is_retry,
            waited_s=now - began,
        )
        if parent is None:
            # The retry budget is a fraction of the calls of callers; nested calls don't add to it.
            self._budget.count_request(state.service, began)
        if state.is_retry:
            self._budget.charge(state.service, began)
        return state

    def _comes_late(self, state: _CallState) -> bool:
        """Return whether the call may not end before this node does, and record it."""
        state.came_late = not self._stop_plan.admits_call(self._loop.time(), state.ends_by)
        return state.came_late

    async def _read_and_send(self, state: _CallState, body: BodyReader) -> OwnerResponse | None:
        """Return the response of an owner, or None if there is none or no complete body."""
        data = await body.read()
        if data is None:
            return None
        state.body_received = True
        if self._comes_late(state):
            return None
        state.body = data
        state.request = replace(state.request, body=ReceivedBody(data))
        return await self._find_response(state)

    # Choosing owners and sending the call.

    async def _find_response(self, state: _CallState) -> OwnerResponse | None:
        """Return the response of an owner, or None if all owners refused the call."""
        for round_ in BIG_ROUNDS if self._make_traits(state).big else ROUNDS:
            excluded = set(state.unusable)
            for number in range(round_.max_owners):
                if round_ is ROUNDS[0] and number >= self._limit_probes(state):
                    break
                if self._is_barred(state):
                    return state.failure
                if state.quota is not None and not await state.quota.admit(self._loop.time):
                    return state.failure
                view = self._choose(state, excluded, round_)
                if view is None:
                    break
                excluded.add(view.record.id)
                reply = await self._send_to_owner(state, view, may_wait=round_.may_wait)
                refusal = reply.metadata.refusal
                if round_ is ROUNDS[0]:
                    self._record_probe(state, refused=refusal is Refusal.FULL)
                state.quarantined = refusal is Refusal.QUARANTINED
                state.key_withdrawn = refusal is Refusal.KEY_WITHDRAWN
                if state.quarantined or state.key_withdrawn:
                    return state.failure
                if self._is_final(state, reply):
                    # An earlier attempt without a response may have run.
                    return state.failure if reply.metadata.ran is False else reply
        return state.failure

    def _is_barred(self, state: _CallState) -> bool:
        """Return whether no owner may get the call any more, and record why."""
        state.quarantined = self._find_release(state) is not None
        state.key_withdrawn = self.authenticator.is_withdrawn(state.identity.key_id)
        return state.quarantined or state.key_withdrawn

    def _record_probe(self, state: _CallState, *, refused: bool) -> None:
        self._probes.record(state.service, self._loop.time(), refused=refused)

    def _limit_probes(self, state: _CallState) -> int:
        return self._probes.limit_probes(state.service, self._loop.time())

    def _find_release(self, state: _CallState) -> float | None:
        """Return when the quarantine of the request ends, None if it is in none."""
        if self._suspects.is_empty:
            return None
        return self._suspects.find_release(self._find_fingerprint(state), self._loop.time())

    def _find_fingerprint(self, state: _CallState) -> str:
        if not state.fingerprint:
            caller = identify_caller(self._settings.service, state.standing.team)
            state.fingerprint = state.request.compute_fingerprint(caller, state.body)
        return state.fingerprint

    def _choose(
        self, state: _CallState, excluded: set[str], round_: SelectionRound
    ) -> EndpointView | None:
        view = self._choose_version(state, excluded, round_)
        if view is None and state.try_new:
            # No owner of the new version has room, so the call goes to the old one.
            state.try_new = False
            view = self._choose_version(state, excluded, round_)
        return view

    def _choose_version(
        self, state: _CallState, excluded: set[str], round_: SelectionRound
    ) -> EndpointView | None:
        now = self._loop.time()
        views = self._list_ready(state)
        if state.try_new is None:
            state.try_new = self._moves.may_try_new_version(state.service, views)
        views = self._moves.filter_endpoints(state.service, views, now, try_new=state.try_new)
        traits = self._make_traits(state)
        # Nested calls ignore earlier refusals, because a running call depends on them.
        route = "" if state.nested else make_wait_class(state.route.name, state.standing.team)
        views = list_candidates(views, traits, round_, route, now)
        return choose_endpoint(views, traits, excluded, now, self._random)

    def _list_ready(self, state: _CallState) -> list[EndpointView]:
        """Return the endpoints that may get the call, just one for the trial of a request."""
        views = self._evacuations.filter_endpoints(self._directory.list_ready(state.service))
        if not views or not self._needs_trial(state):
            return views
        chosen = choose_for_trial(state.fingerprint, (view.record.id for view in views))
        return [view for view in views if view.record.id == chosen]

    def _needs_trial(self, state: _CallState) -> bool:
        if self._suspects.is_empty:
            return False
        return self._suspects.needs_trial(self._find_fingerprint(state))

    def _make_traits(self, state: _CallState) -> CallTraits:
        route = state.route
        return CallTraits(
            zone=self._settings.zone,
            objective_ms=route.objective_ms,
            moved_bytes=len(state.body) + self._sizes.estimate(route.name),
        )

    async def _send_to_owner(
        self, state: _CallState, view: EndpointView, *, may_wait: bool
    ) -> OwnerResponse:
        record = view.record
        state.version = record.version
        route = state.route
        standing = state.standing
        now = self._loop.time()
        metadata = CallMetadata(
            endpoint=record.id,
            left_ms=round((state.deadline - now) * 1000, 1),
            due_ms=round((state.due - now) * 1000, 1),
            priority=standing.priority,
            caller=self._settings.service,
            nested=state.nested,
            is_retry=state.is_retry or state.attempts > 0,
            may_wait=may_wait,
            idempotent=bool(route.idempotent),
            route=route.name,
            over_link=record.node != self._settings.name,
            limit_per_s=view.limit_per_s,
            cold_per_s=view.load.cold_per_s,
            team=standing.team,
            team_priority=standing.team_priority,
            key_id=state.identity.key_id,
            may_resend=self._may_resend(state),
        )
        owner: Owner = self._local_owner
        if metadata.over_link:
            owner = RemoteOwner(self._link, self._directory.peers[record.node].record)
        view.pending += 1
        try:
            serving = owner.serve(metadata, state.request)
            reply = await (serving if state.quota is None else state.quota.track(serving))
        except CancelledError:
            state.record_verdict(None)
            self._moves.count_arrival(state.service, record.version)
            raise
        finally:
            view.pending -= 1
        state.record_verdict(reply.metadata.ran)
        self._record_reply(state, view, reply.metadata)
        if reply.metadata.ran:
            ended = self._loop.time()
            overhead = view.big_overhead if self._make_traits(state).big else view.small_overhead
            overhead.add_sample(max(0.0, (ended - now) * 1000 - reply.metadata.took_ms), ended)
        return reply

    def _record_reply(
        self, state: _CallState, view: EndpointView, metadata: ResponseMetadata
    ) -> None:
        now = self._loop.time()
        self._evacuations.merge(metadata.evacuations, view.record.node)
        if metadata.load.slots:
            self._directory.update_load(view.record.id, metadata.load, now)
        outcome = (
            metadata.refusal.value
            if metadata.refusal is not None
            else "ran" if metadata.ran else "lost"
        )
        state.trail.append(f"{view.record.id} {outcome}")
        if metadata.resent:
            state.attempts += 1
            self._budget.charge(state.service, now)
        if metadata.reached:
            self._moves.count_arrival(state.service, view.record.version)
            # A repeated request goes to the proven version.
            state.try_new = False
        if metadata.refusal is Refusal.FULL:
            avoid_s = AVOID_WHEN_FULL_S
            if metadata.load.limit_per_s is not None:
                avoid_s = max(avoid_s, min(metadata.wait_ms / 1000, AVOID_WHEN_LIMITED_S))
            view.full_until = now + avoid_s
            record_paced_refusal(view, metadata, route="", now=now)
        elif metadata.refusal is Refusal.LATE:
            state.refused_wait_ms.append(metadata.wait_ms)
            wait_class = make_wait_class(state.route.name, state.standing.team)
            view.mark_late(wait_class, now + AVOID_WHEN_LATE_S, now)
            record_paced_refusal(view, metadata, route=wait_class, now=now)
        else:
            state.unusable.add(view.record.id)
            state.attempts += metadata.reached
        if metadata.ran is None or metadata.refusal in (
            Refusal.SHED,
            Refusal.DOWN,
            Refusal.UNKNOWN,
        ):
            view.deprioritized_until = now + DEPRIORITIZE_S

    def _is_final(self, state: _CallState, reply: OwnerResponse) -> bool:
        """Return whether `reply` ends the call; otherwise another owner may be tried."""
        metadata = reply.metadata
        if metadata.ran is False:
            if metadata.refusal is not Refusal.SHED:
                return False
            return not self._may_retry(state)
        response = reply.response
        if response is not None and response.status < SERVER_ERROR:
            return True
        state.failure = reply
        return not (state.route.idempotent and self._may_retry(state))

    def _may_retry(self, state: _CallState) -> bool:
        if state.attempts >= state.route.max_attempts:
            return False
        if self._needs_trial(state):
            # One endpoint is enough for a trial.
            return False
        nodes = self._directory.count_nodes()
        return self._budget.take(state.service, self._loop.time(), nodes)

    def _may_resend(self, state: _CallState) -> bool:
        """Return whether the owner may send the call twice, which counts as a retry."""
        route = state.route
        if not route.idempotent or state.attempts + 1 >= route.max_attempts:
            return False
        if self._needs_trial(state):
            return False
        nodes = self._directory.count_nodes()
        return self._budget.has_room(state.service, self._loop.time(), nodes)

    # Responding to the caller.

    def _respond(self, call: IncomingCall, state: _CallState, reply: OwnerResponse | None) -> None:
        if reply is None and state.quarantined:
            self._respond_quarantined(call, state)
        elif reply is None and state.key_withdrawn:
            self._respond_error(call, state, 401, Denial.WITHDRAWN_KEY.value)
        elif reply is None and state.quota is not None and state.quota.refusal is not None:
            self._respond_over_quota(call, state, state.quota.refusal)
        elif reply is None and state.came_late:
            self._respond_stopping(call, state)
        elif reply is None or reply.metadata.ran is False:
            waits = state.refused_wait_ms
            wait_s = min(waits) / 1000 if waits else self._estimate_unasked_wait(state)
            self._respond_error(call, state, 503, "refused", wait_s)
        elif reply.response is None:
            late = self._loop.time() >= state.deadline
            self._respond_error(call, state, 504 if late else 502, "answer lost")
        else:
            self._pass_on(call, state, reply.response)

    def _pass_on(self, call: IncomingCall, state: _CallState, response: Response) -> None:
        """Respond as the endpoint did, or with 502 if its status would be a false promise."""
        self._sizes.record(state.route.name, len(response.body))
        idempotent = bool(state.route.idempotent)
        status = choose_status(response.status, state.verdict, idempotent=idempotent)
        if status == response.status:
            call.respond(status, response.headers, response.body, response.account)
            self._log(state, status, "answered")
            return
        self.withheld[response.status] += 1
        call.respond(status, [(self._headers.request_id, state.request.request_id)])
        self._log(state, status, "false promise", endpoint_status=response.status)

    def _respond_stopping(self, call: IncomingCall, state: _CallState) -> None:
        self._respond_error(call, state, 503, "stopping", DEFAULT_RETRY_AFTER_S)

    def _estimate_unasked_wait(self, state: _CallState) -> float:
        """Return the wait of a call that no owner was asked to queue."""
        views = self._directory.list_ready(state.service)
        wait_s = estimate_paced_wait(views, self._loop.time())
        return DEFAULT_RETRY_AFTER_S if wait_s is None else wait_s

    def _respond_quarantined(self, call: IncomingCall, state: _CallState) -> None:
        """Refuse a request that ends the endpoints that run it, until its next trial."""
        release = self._find_release(state)
        left_s = DEFAULT_RETRY_AFTER_S if release is None else release - self._loop.time()
        self._respond_own(call, state, 503, "quarantined", left_s)

    def _respond_over_quota(
        self, call: IncomingCall, state: _CallState, refusal: OverQuota
    ) -> None:
        self._respond_own(call, state, 429, "over quota", refusal.retry_after_s)

    def _respond_cancelled(self, call: IncomingCall, state: _CallState) -> None:
        """Respond to a call that was given up at its deadline, if its caller is still there."""
        if not call.is_open:
            self._log(state, 0, "caller left")
        elif state.body_received:
            self._respond_error(call, state, 504, "deadline")
        else:
            self._respond_error(call, state, 408, BodyFailure.LATE.value)

    def _respond_error(
        self, call: IncomingCall, state: _CallState, status: int, cause: str, wait_s: float = 0.0
    ) -> None:
        after_s = None
        if status == 503:
            now = self._loop.time()
            after_s = compute_retry_after(
                wait_s,
                self._random,
                left_s=state.caller_deadline - now,
                timely_s=state.due - now,
            )
        self._respond_own(call, state, status, cause, after_s)

    def _respond_own(
        self,
        call: IncomingCall,
        state: _CallState,
        status: int,
        cause: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Respond in the name of this node, and never promise that a call that ran has not."""
        status = choose_status(status, state.verdict)
        headers = [(self._headers.request_id, state.request.request_id)]
        if retry_after_s is not None:
            headers.append((self._headers.retry_after, encode_seconds(retry_after_s)))
        call.respond(status, headers)
        self._log(state, status, cause)

    def _refuse_body(self, call: IncomingCall, request_id: bytes, body: BodyReader) -> None:
        """Refuse a call without its body; no owner has got it."""
        failure = body.failure or BodyFailure.INCOMPLETE
        self._refuse_early(call, request_id, BODY_FAILURE_STATUSES[failure], failure.value)

    def _refuse_early(self, call: IncomingCall, request_id: bytes, status: int, cause: str) -> None:
        headers = [(self._headers.request_id, request_id)]
        if status == 503:
            after_s = compute_retry_after(DEFAULT_RETRY_AFTER_S, self._random)
            headers.append((self._headers.retry_after, encode_seconds(after_s)))
        parent = self._find_parent(request_id)
        if parent is not None:
            parent.nested_failed = True
        if call.is_open:
            call.respond(status, headers)
        if not self.log_budget.take(self._loop.time()):
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

    def _log(self, state: _CallState, status: int, cause: str, **fields: object) -> None:
        state.report_end(status, refused_cold=status == 503 and self._is_cold(state.service))
        now = self._loop.time()
        took_s = now - state.began
        self._metrics.count_call(state.service, state.version, status, took_s)
        if not self.log_budget.take(now):
            return
        log_info(
            "call ended",
            request=state.request.request_id.decode("latin-1"),
            status=status,
            cause=cause,
            route=state.route.name,
            service=state.service,
            upstream_version=state.version,
            nested=state.nested,
            trail=state.trail,
            fingerprint=state.fingerprint,
            crashes=self._suspects.count_crashes(state.fingerprint),
            took_ms=round(took_s * 1000, 1),
            waited_ms=round(state.waited_s * 1000, 1),
            left_ms=round((state.deadline - now) * 1000, 1),
            config_version=self._configuration.snapshot.version,
            **({"team": state.standing.team} if state.standing.team else {}),
            **fields,
        )

    def _is_cold(self, service: str) -> bool:
        views = self._directory.list_ready(service)
        return any(view.load.cold_per_s is not None for view in views)

    def _read_timeout_s(self, call: IncomingCall) -> float:
        raw = call.find_header(self._headers.deadline_ms)
        try:
            return int(raw) / 1000 if raw is not None else float("inf")
        except ValueError:
            return float("inf")

    def _strip_headers(self, call: IncomingCall) -> list[tuple[bytes, bytes]]:
        names = self._headers
        own = {names.deadline_ms, names.expected_instance, names.caller}
        headers = [header for header in strip_own_headers(call.headers) if header[0] not in own]
        return self.authenticator.strip(headers)
