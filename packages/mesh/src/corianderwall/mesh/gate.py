"""Admits calls to the local endpoint, runs them and reports their outcome."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from twisted.internet.defer import CancelledError, Deferred

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.httpflow.resting import ConnectionHistory
from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.authentication import replace_credentials
from corianderwall.mesh.endpoint import EndpointTracker
from corianderwall.mesh.evacuations import OpenZone, ZoneGuard
from corianderwall.mesh.exchange import (
    MISDIRECTED,
    Echo,
    Exchange,
    Response,
    run_exchange,
    says_not_run,
)
from corianderwall.mesh.messages import (
    CallMetadata,
    EndpointRecord,
    EndpointState,
    Load,
    Refusal,
    ResponseMetadata,
)
from corianderwall.mesh.owner import ForwardedRequest, OwnerResponse, ReceivedBody
from corianderwall.mesh.ranks import Standing, compute_rank
from corianderwall.mesh.ratelimit import parse_rate
from corianderwall.mesh.resending import log_drop, mark_resent, resend
from corianderwall.mesh.responsememory import ResponseMemory
from corianderwall.mesh.settings import PLACES_SECTION, HeaderNames, HostSettings
from corianderwall.mesh.stopplan import NO_STOP, StopPlan
from corianderwall.mesh.teams import NO_TEAMS, TeamTable, identify_caller
from corianderwall.mesh.teamshares import TeamShares
from corianderwall.mesh.uplink import Uplink
from corianderwall.mesh.warmup import WarmupMonitor
from corianderwall.model.errors import ErrorCode
from corianderwall.model.resource import Service
from corianderwall.node.crashdetector import CrashDetector, LostCall
from corianderwall.node.logs import LogBudget, log_info, log_warning
from corianderwall.traffic.suspects import SuspectRecord, Suspects

LEAVING = b"1"
SERVER_ERROR = 500
EWMA_WEIGHT = 0.1
"""Weight of the newest call in the failure rate; a change shows within about ten calls."""
CALL_LOG_LINES_PER_S = 200
"""Limit on log lines about calls per second; several times the call rate of an endpoint."""
WAITING_CHECK_S = 0.05
"""Interval of checks on waiting calls; short enough for a refused caller to retry in time."""
DEADLINE_MARGIN_S = 0.1
"""Time after the deadline at which the owner cancels a call, if the entry has not done so."""
MAX_TURN_S = 0.05
"""Time from the start of a call to its sending at a cold endpoint; the reserve below the operator's
bound covers the calls that start in this time."""
DEFAULT_RANK = 1
"""Rank used to estimate the wait of a call that is refused before its rank is computed."""
DEFAULT_CONNECTIONS = 64
"""Connection limit if the configuration has none; above the slots of any endpoint."""
MAX_REFUSED_IDS = 1024
"""Refused requests that are remembered; more than an endpoint refuses while callers retry."""
MAX_IDLE_S = 8.0
"""Idle time after which a connection is not reused; endpoints close theirs soon after."""
STALE_AFTER_S = 0.2
"""Idle time after which a connection is checked before reuse; endpoints close some early."""
MAX_NON_IDEMPOTENT_IDLE_S = 2.0
"""Idle limit for calls that may not be retried, since a connection reset would lose them."""


@dataclass(slots=True)
class RunningCall:
    """A call that runs at the endpoint; `is_retry` is set if it was sent to one before.

    `nested_failed` is set once a nested call of it has failed: its own failure then says nothing
    about the endpoint or its version. `nested_refused` is set if a cold service has refused one,
    and `nested_served` if one was served. Nested calls take over its `standing`, which is set if it
    has a team.
    """

    is_retry: bool
    nested_failed: bool = False
    nested_refused: bool = False
    nested_served: bool = False
    standing: Standing | None = None


class EndpointGate:
    """Owns the admission queue and the connections of one endpoint address.

    `on_change` is called with each new record of the endpoint and `on_suspects` with new records of
    requests that ran when it crashed, so that they can be sent to peers.
    """

    def __init__(
        self,
        settings: HostSettings,
        headers: HeaderNames,
        on_change: Callable[[EndpointRecord], None],
        on_result: Callable[[str, str, bool, float], None],
        uplink: Uplink,
        suspects: Suspects,
        on_suspects: Callable[[tuple[SuspectRecord, ...]], None],
        find_record: Callable[[str], EndpointRecord | None] = lambda _: None,
        read_teams: Callable[[], TeamTable] = lambda: NO_TEAMS,
        knows_service: Callable[[str], bool] = lambda _: False,
        memory: ResponseMemory | None = None,
    ) -> None:
        self._memory = memory or ResponseMemory()
        self.warmup = WarmupMonitor(
            settings.bounds, headers, lambda: self._pool, lambda: self.record, self._dispatch
        )
        self.endpoint = EndpointTracker(
            settings,
            self._handle_start,
            self._handle_change,
            find_record,
            self.warmup.handle_statement,
            knows_service,
        )
        self.shares = TeamShares(lambda team: read_teams().weigh(team))
        self.queue = AdmissionQueue(0, uplink, pace=self.warmup.pace, shares=self.shares)
        self.closing = False
        self._stop_plan = NO_STOP
        self.synced = False
        self.crash_count = 0
        self.log_budget = LogBudget(CALL_LOG_LINES_PER_S)
        self._settings = settings
        self._headers = headers
        self._on_change = on_change
        self._on_result = on_result
        self._uplink = uplink
        self._suspects = suspects
        self._on_suspects = on_suspects
        # Set while the endpoint may be bound to a rate that is not known yet: entries may have got
        # the configuration before this node.
        self._awaits_terms = PLACES_SECTION in settings.sections
        self._read_teams = read_teams
        self._loop = asyncio.get_running_loop()
        self.connections = ConnectionHistory(MAX_IDLE_S, MAX_NON_IDEMPOTENT_IDLE_S)
        self.resent_count = 0
        self._pool = self._make_pool()
        self._crashes = CrashDetector(settings.endpoint, self._may_connect, self._handle_crash)
        self._running: dict[bytes, RunningCall] = {}
        self._waiting_timer: asyncio.TimerHandle | None = None
        self._waits: dict[QueuedCall, Deferred[Refusal | None]] = {}
        self._failure_rate = 0.0
        # Set once the endpoint has responded to this process, whose knowledge then decides.
        self._has_responded = False
        # Set once the endpoint has sent the id of a request back, as it then does in each response.
        self._echoes_ids = False
        self._refused_ids: dict[bytes, None] = {}
        self.zone_guard: ZoneGuard = OpenZone()

    @property
    def record(self) -> EndpointRecord | None:
        """Return the record of the endpoint, None until the endpoint is known."""
        return self.endpoint.record

    # Configuration by the node.

    def limit_connections(self, limit: int) -> None:
        """Set the maximum number of connections to the endpoint, 0 for the default."""
        self._pool.max_connections = limit or DEFAULT_CONNECTIONS

    def configure_service(self, service: Service) -> None:
        """Apply what the configuration says of the service of the endpoint."""
        self._awaits_terms = False
        self.limit_connections(service.max_connections)
        self.warmup.configure(service)

    def use_settings(self, settings: HostSettings) -> None:
        """Use changed settings, from the next call and the next announcement on."""
        self._settings = settings
        self.endpoint.use_settings(settings)

    def expect_cold(self) -> None:
        """Count the endpoint as cold until it says what it is, as after an evacuation."""
        self.warmup.expect_cold("expected")

    # Requests of entries.

    def read_load(self) -> Load:
        """Return the current load of the endpoint."""
        queue = self.queue
        return Load(
            running=len(queue.running),
            waiting=len(queue.waiting),
            slots=queue.slots,
            service_ms=round(queue.mean_s * 1000, 1),
            failures=round(self._failure_rate, 3),
            limit_per_s=queue.limit.rate_per_s,
            has_responded=self._has_responded,
            cold_per_s=queue.pace.estimate_rate(self._loop.time(), queue.slots, queue.mean_s),
            slowdown=round(queue.slowdown.estimate(self._loop.time()), 2),
        )

    async def serve(self, metadata: CallMetadata, request: ForwardedRequest) -> OwnerResponse:
        """Run a call at the endpoint or refuse it."""
        now = self._loop.time()
        deadline = now + metadata.left_ms / 1000
        refusal = self._find_refusal(metadata) or self._find_late(metadata, deadline)
        if refusal is not None:
            return self._refuse(request, refusal)
        if not self._has_responded and metadata.limit_per_s is not None:
            self._set_limit(metadata.limit_per_s, "an entry")
        self.warmup.prepare(metadata.cold_per_s)
        rank = compute_rank(metadata)
        sending_s = self._uplink.estimate_sending_s(metadata.route) if metadata.over_link else 0.0
        due = now + metadata.due_ms / 1000
        queued = QueuedCall(
            metadata.route,
            rank,
            due,
            deadline,
            sending_s,
            team=metadata.team,
            nested=metadata.nested,
        )
        try:
            request, refusal = await self._receive_first(request, queued, metadata)
            refusal = refusal or await self._admit(queued, metadata)
        except CancelledError:
            self._log_cancelled(request, metadata, "waiting", now)
            raise
        if refusal is not None:
            return self._refuse(request, refusal, queued)
        exchange: Exchange | None = None
        body: bytes | None = None
        running = self._running[request.request_id] = RunningCall(
            metadata.is_retry, standing=_find_standing(metadata)
        )
        sent_at = queued.started
        try:
            body = await self._receive_body(request, deadline)
            sent_at = self._loop.time()
            # The endpoint may have begun to leave, or the key may have been withdrawn, while the
            # call waited or its body was on its way.
            refusal = Refusal.BODY_LOST if body is None else self._find_refusal(metadata)
            refusal = refusal or self._find_late(metadata, deadline)
            refusal = refusal or self._check_turn(queued, sent_at)
            if body is not None and refusal is None:
                refusal = self._check_suspect(metadata, request, body)
            if body is not None and refusal is None:
                exchange = await self._send(metadata, request, body, deadline, running)
        except CancelledError:
            self._log_cancelled(request, metadata, "running", queued.started)
            raise
        finally:
            ran = exchange is not None and exchange.response is not None
            self._running.pop(request.request_id, None)
            self.queue.finish(queued, self._loop.time(), ran=ran)
            self._dispatch()
        if exchange is None:
            return self._refuse(request, refusal or Refusal.BODY_LOST)
        if exchange.response is None:
            reply = self._handle_failure(metadata, request, body or b"", exchange)
            return mark_resent(reply, exchange)
        self._clear_suspect(metadata, request, body or b"", exchange.response)
        ended = self._loop.time()
        total_ms = round((ended - now) * 1000, 1)
        took_s = ended - sent_at
        self._count_nested(metadata.route, running, failed=exchange.response.status >= SERVER_ERROR)
        reply = self._handle_response(
            metadata, request, exchange.response, took_s, total_ms, running.nested_failed
        )
        return mark_resent(reply, exchange)

    def find_parent(self, request_id: bytes) -> RunningCall | None:
        """Return the call at the endpoint whose id `request_id` extends, None if there is none.

        The running call depends on its nested calls, so refusing one wastes the work done so far.
        """
        parent = request_id.rpartition(b".")[0]
        return self._running.get(parent) if parent else None

    def handle_evacuation(self, evacuated: bool) -> None:
        """Handle the begin or the end of an evacuation of this zone; running calls continue."""
        if evacuated:
            self._refuse_waiting(Refusal.EVACUATED)
        else:
            self.expect_cold()

    def begin_stop(self, plan: StopPlan) -> None:
        """Refuse calls of peers that must not be repeated and may not end before this node."""
        self._stop_plan = plan

    def close(self) -> None:
        """Refuse waiting and new calls; running calls continue."""
        self.closing = True
        self._crashes.close()
        self.warmup.close()
        self._refuse_waiting(Refusal.LEAVING)

    # Internals.

    def _make_pool(self) -> UpstreamPool:
        limits = ClientLimits(
            max_idle_s=MAX_IDLE_S,
            max_non_idempotent_idle_s=MAX_NON_IDEMPOTENT_IDLE_S,
            # A slow call is normal here, and probe connections would take slots of the endpoint.
            stalled_after_s=math.inf,
            stale_after_s=STALE_AFTER_S,
        )
        return UpstreamPool(self._settings.endpoint, DEFAULT_CONNECTIONS, limits, self.connections)

    def _handle_start(self, record: EndpointRecord) -> None:
        """Reset the queue, connections and failure rate for an endpoint that has just started."""
        self._refuse_waiting(Refusal.UNKNOWN)
        self._pool.close()
        self.connections.forget_suspected()
        self._pool = self._make_pool()
        self._failure_rate = 0.0
        self._has_responded = self._echoes_ids = False
        self.warmup.handle_start()
        self.queue = AdmissionQueue(
            record.slots, self._uplink, pace=self.warmup.pace, shares=self.shares
        )

    def _handle_change(self, record: EndpointRecord) -> None:
        """Refuse waiting calls if the endpoint can no longer be used, and report the change."""
        self.queue.slots = record.slots
        if record.state in (EndpointState.DRAINING, EndpointState.GONE):
            self._refuse_waiting(Refusal.LEAVING)
        elif record.state is EndpointState.DOWN:
            self._refuse_waiting(Refusal.DOWN)
        self._on_change(record)

    def _find_refusal(self, metadata: CallMetadata) -> Refusal | None:
        record = self.record
        if self.closing:
            return Refusal.LEAVING
        if not self.synced:
            # An earlier process of this node may have acknowledged that the endpoint is leaving.
            return Refusal.UNKNOWN
        if self._awaits_terms:
            return Refusal.UNKNOWN
        if record is None or record.id != metadata.endpoint:
            return Refusal.UNKNOWN
        if self._read_teams().is_withdrawn(metadata.key_id):
            return Refusal.KEY_WITHDRAWN
        if record.state is EndpointState.DOWN:
            return Refusal.DOWN
        if record.state is not EndpointState.READY:
            return Refusal.LEAVING
        return self.zone_guard.find_refusal()

    def _find_late(self, metadata: CallMetadata, deadline: float) -> Refusal | None:
        """Return the refusal of a call that may not end before this node does."""
        if self._stop_plan.admits_peer_call(deadline, idempotent=metadata.idempotent):
            return None
        return Refusal.LEAVING

    async def _admit(self, queued: QueuedCall, metadata: CallMetadata) -> Refusal | None:
        queue = self.queue
        admission = queue.offer(queued, self._loop.time(), may_wait=metadata.may_wait)
        if admission is Admission.FULL:
            return Refusal.FULL
        if admission is Admission.LATE:
            return Refusal.LATE
        if admission is Admission.START:
            return None
        wait: Deferred[Refusal | None] = Deferred()
        self._waits[queued] = wait
        self._schedule_check()
        try:
            return await wait
        except CancelledError:
            queue.withdraw(queued)
            if queued in queue.running:
                queue.finish(queued, self._loop.time(), ran=False)
                self._dispatch()
            raise
        finally:
            self._waits.pop(queued, None)

    def _dispatch(self) -> None:
        started, late = self.queue.dispatch(self._loop.time())
        for queued in started:
            self._resolve(queued, None)
        for queued in late:
            self._resolve(queued, Refusal.LATE)

    def _schedule_check(self) -> None:
        """Schedule a check while calls wait: a call can become late without a slot being freed."""
        if self._waiting_timer is None and self._waits:
            wait_s = self.queue.pace.estimate_wait(self._loop.time(), 0)
            delay_s = min(WAITING_CHECK_S, wait_s) if wait_s > 0.0 else WAITING_CHECK_S
            self._waiting_timer = self._loop.call_later(delay_s, self._check_waiting)

    def _check_waiting(self) -> None:
        self._waiting_timer = None
        self._dispatch()
        self._schedule_check()

    def _refuse_waiting(self, refusal: Refusal) -> None:
        for queued in self.queue.clear_waiting():
            self._resolve(queued, refusal)

    def _resolve(self, queued: QueuedCall, refusal: Refusal | None) -> None:
        wait = self._waits.pop(queued, None)
        if wait is not None:
            wait.callback(refusal)

    async def _receive_first(
        self, request: ForwardedRequest, queued: QueuedCall, metadata: CallMetadata
    ) -> tuple[ForwardedRequest, Refusal | None]:
        """Receive the body before the call starts, if the endpoint is or may become cold.

        Calls that wait for their bodies after their start could arrive at the endpoint all at once.
        A call that would be refused does not move its body to this host.
        """
        now = self._loop.time()
        pace = self.warmup.pace
        if not pace.rate_per_s and not pace.is_paced(now):
            return request, None
        if not self.queue.would_accept(queued, now, may_wait=metadata.may_wait):
            return request, None
        body = await self._receive_body(request, queued.deadline)
        if body is None:
            return request, Refusal.BODY_LOST
        # What has refused the waiting calls meanwhile has not met this one.
        return replace(request, body=ReceivedBody(body)), self._find_refusal(metadata)

    def _check_turn(self, queued: QueuedCall, now: float) -> Refusal | None:
        """Return the refusal of a call that has lost its turn by waiting for its body."""
        is_overdue = now - queued.started > MAX_TURN_S and self.warmup.pace.is_cold(now)
        return Refusal.FULL if is_overdue else None

    async def _receive_body(self, request: ForwardedRequest, deadline: float) -> bytes | None:
        """Return the body, or None if the entry has not sent all of it by `deadline`."""
        timer = self._loop.call_at(deadline, request.body.expire)
        try:
            return await request.body.read()
        finally:
            timer.cancel()

    def _check_suspect(
        self, metadata: CallMetadata, request: ForwardedRequest, body: bytes
    ) -> Refusal | None:
        """Return the refusal of a request in quarantine, or None and begin the trial of one."""
        if self._suspects.is_empty:
            return None
        now = self._loop.time()
        fingerprint = _compute_fingerprint(metadata, request, body)
        if self._suspects.find_release(fingerprint, now) is not None:
            return Refusal.QUARANTINED
        if self._suspects.needs_trial(fingerprint):
            self._on_suspects(self._suspects.start_trial(fingerprint, now))
            log_info(
                "a request is tried again after its quarantine",
                request=request.request_id.decode(),
                endpoint=metadata.endpoint,
                fingerprint=fingerprint,
                crashes=self._suspects.count_crashes(fingerprint),
            )
        return None

    def _clear_suspect(
        self, metadata: CallMetadata, request: ForwardedRequest, body: bytes, response: Response
    ) -> None:
        """Record that the endpoint has run a request and goes on running."""
        not_run = says_not_run(response, self._headers.not_run)
        if self._suspects.is_empty or not_run or response.status == MISDIRECTED:
            return
        fingerprint = _compute_fingerprint(metadata, request, body)
        changed = self._suspects.record_response(fingerprint, self._loop.time())
        if changed:
            self._on_suspects(changed)
            log_info(
                "a request that ran when endpoints crashed was not the cause",
                request=request.request_id.decode(),
                fingerprint=fingerprint,
                crashes=len(changed[0].refuted),
            )

    async def _send(
        self,
        metadata: CallMetadata,
        request: ForwardedRequest,
        body: bytes,
        deadline: float,
        running: RunningCall,
    ) -> Exchange:
        names = self._headers
        received = request.headers
        if metadata.team or self._read_teams().is_active:
            # An entry that is behind the configuration passes on what its caller has sent.
            team = "" if metadata.nested else metadata.team
            received = replace_credentials(received, names, team)
        left_ms = max(1, int((deadline - self._loop.time()) * 1000))
        headers = [
            *received,
            (names.deadline_ms, b"%d" % left_ms),
            (names.expected_instance, metadata.endpoint.encode()),
            (names.caller, metadata.caller.encode()),
        ]
        call = OutgoingCall(
            method=request.method,
            target=request.target,
            headers=headers,
            deadline=deadline + DEADLINE_MARGIN_S,
            idempotent=metadata.idempotent,
            body=body,
        )
        echo = Echo(
            names.request_id, request.request_id, not_run=names.not_run, required=self._echoes_ids
        )
        # A copy of its refusal may still come on the connection that carried the first request.
        was_refused = request.request_id in self._refused_ids
        exchange = await run_exchange(
            self._pool, call, echo, fresh=was_refused, memory=self._memory
        )
        if exchange.dropped:
            resent = self._take_resend(metadata)
            if self.log_budget.take(self._loop.time()):
                log_drop(self.connections, metadata, request, exchange, resent=resent)
            if resent:
                running.is_retry = True
                exchange = await resend(self._pool, call, echo, self._memory)
        self._read_speed(metadata, exchange)
        if exchange.response is not None:
            self._echoes_ids |= exchange.response.find_header(names.request_id) is not None
        return exchange

    def _read_speed(self, metadata: CallMetadata, exchange: Exchange) -> None:
        """Keep what a response says of the host's speed, before its call time is counted."""
        record, response = self.record, exchange.response
        if response is None or record is None or record.id != metadata.endpoint:
            return
        if response.status != MISDIRECTED:
            load = response.find_header(self._headers.load)
            self.queue.slowdown.record(load, self._loop.time())

    def _take_resend(self, metadata: CallMetadata) -> bool:
        """Return whether a call that the endpoint has not taken may be sent to it once more."""
        now = self._loop.time()
        paced = self.read_load().cold_per_s is not None
        if not metadata.may_resend or paced or self._find_refusal(metadata) is not None:
            return False
        if not self.queue.limit.permits(now):
            return False
        self.queue.limit.take(now)
        self.resent_count += 1
        return True

    def _handle_response(
        self,
        metadata: CallMetadata,
        request: ForwardedRequest,
        response: Response,
        took_s: float,
        total_ms: float,
        nested_failed: bool,
    ) -> OwnerResponse:
        self.endpoint.record_response()
        self._read_notices(metadata, response)
        if response.status == MISDIRECTED:
            log_warning(
                "another endpoint uses the address of this endpoint", endpoint=metadata.endpoint
            )
            self.endpoint.refute(metadata.endpoint)
            return self._refuse(request, Refusal.UNKNOWN, reached=True)
        if says_not_run(response, self._headers.not_run):
            self._keep_refused(request.request_id)
            self.warmup.pace.record_refusal(metadata.route, self._loop.time())
            self._count_result(metadata, failed=True, took_s=took_s, ran=False)
            return self._refuse(request, Refusal.SHED, reached=True)
        failed = response.status >= SERVER_ERROR
        if not failed:
            self._uplink.sizes.record(metadata.route, len(response.body))
            self.warmup.pace.record_response(metadata.route, took_s, self._loop.time())
        if not (failed and nested_failed):
            self._count_result(metadata, failed=failed, took_s=took_s, ran=True)
        self._log(
            "ran",
            request=request.request_id.decode(),
            endpoint=metadata.endpoint,
            status=response.status,
            took_ms=round(took_s * 1000, 1),
            starved=nested_failed,
        )
        return OwnerResponse(
            ResponseMetadata(ran=True, load=self.read_load(), took_ms=total_ms), response
        )

    def _keep_refused(self, request_id: bytes) -> None:
        self._refused_ids[request_id] = None
        while len(self._refused_ids) > MAX_REFUSED_IDS:
            del self._refused_ids[next(iter(self._refused_ids))]

    def _read_notices(self, metadata: CallMetadata, response: Response) -> None:
        """Apply what an endpoint says of itself in each response."""
        record = self.record
        if record is None or record.id != metadata.endpoint or response.status == MISDIRECTED:
            return
        self._has_responded = True
        self._set_limit(parse_rate(response.find_header(self._headers.limit)), "the endpoint")
        self.warmup.read_response(response)
        if response.find_header(self._headers.leaving) == LEAVING:
            self.endpoint.mark_leaving()

    def _set_limit(self, limit_per_s: float | None, origin: str) -> None:
        limit = self.queue.limit
        former = limit.rate_per_s
        limit.set_rate(limit_per_s, self._loop.time())
        if limit.rate_per_s != former:
            self._log(
                "the rate limit of the endpoint changed",
                endpoint=self.record.id if self.record is not None else "",
                former_per_s=former,
                limit_per_s=limit.rate_per_s,
                origin=origin,
            )

    def _handle_failure(
        self, metadata: CallMetadata, request: ForwardedRequest, body: bytes, exchange: Exchange
    ) -> OwnerResponse:
        error = exchange.error.value if exchange.error is not None else ""
        fingerprint = _compute_fingerprint(metadata, request, body)
        self._log(
            "no complete response from the endpoint",
            request=request.request_id.decode(),
            endpoint=metadata.endpoint,
            handed_over=exchange.send_started,
            error=error,
            foreign=exchange.foreign,
            oversized=exchange.oversized,
            rest_ms=round(exchange.rest_s * 1000, 1),
            fingerprint=fingerprint,
            caller=metadata.caller,
            route=metadata.route,
        )
        record = self.record
        if not exchange.send_started:
            if record is not None and record.id == metadata.endpoint:
                self.endpoint.mark_down("no connection")
            return self._refuse(request, Refusal.DOWN)
        if (
            record is not None
            and record.id == metadata.endpoint
            and record.state in (EndpointState.READY, EndpointState.DOWN)
            and exchange.error is ErrorCode.UPSTREAM_LOST
        ):
            lost = LostCall(request.request_id.decode(), fingerprint)
            self._crashes.record_loss(record.start, lost)
        self.warmup.pace.record_refusal(metadata.route, self._loop.time())
        self._count_result(metadata, failed=True, took_s=0.0, ran=False)
        return OwnerResponse(ResponseMetadata(ran=None, load=self.read_load(), error=error))

    def _may_connect(self) -> bool:
        return self._pool.open_connections < self._pool.max_connections

    def _handle_crash(self, start: str, calls: tuple[LostCall, ...]) -> None:
        """Remember the calls that the endpoint ran when this start of it crashed."""
        self.crash_count += 1
        self.connections.forget_suspected()
        if self.record is not None and self.record.start == start:
            self.warmup.handle_crash()
            self.endpoint.mark_down("no connection")
        fingerprints = [call.fingerprint for call in calls]
        changed = self._suspects.record_crash(start, fingerprints, self._loop.time())
        self._on_suspects(changed)
        log_warning(
            "the endpoint ended while it ran calls",
            start=start,
            calls=[f"{call.request} {call.fingerprint}" for call in calls],
            suspects=[f"{each.fingerprint} {len(each.crashes)}" for each in changed],
        )

    def _log(self, message: str, **fields: object) -> None:
        if self.log_budget.take(self._loop.time()):
            log_info(message, **fields)

    def _log_cancelled(
        self, request: ForwardedRequest, metadata: CallMetadata, phase: str, since: float
    ) -> None:
        """Log that the entry cancelled a call: its deadline has passed or its caller has left."""
        self._log(
            "cancelled by the entry",
            request=request.request_id.decode(),
            endpoint=metadata.endpoint,
            phase=phase,
            took_ms=round((self._loop.time() - since) * 1000, 1),
        )

    def _count_result(
        self, metadata: CallMetadata, *, failed: bool, took_s: float, ran: bool
    ) -> None:
        self._failure_rate += EWMA_WEIGHT * (float(failed) - self._failure_rate)
        self._on_result(metadata.route, metadata.endpoint, failed, took_s if ran else 0.0)

    def _count_nested(self, route: str, running: RunningCall, *, failed: bool) -> None:
        """Count a call that made nested calls; it was wasted if it failed for a refused one."""
        now = self._loop.time()
        if running.nested_refused or running.nested_served:
            self.queue.nested_limits.record_end(
                route,
                now,
                wasted=failed and running.nested_refused,
                rate_per_s=self.queue.estimate_rate(now),
            )

    def _refuse(
        self,
        request: ForwardedRequest,
        refusal: Refusal,
        queued: QueuedCall | None = None,
        *,
        reached: bool = False,
    ) -> OwnerResponse:
        now = self._loop.time()
        queued = queued or QueuedCall("", DEFAULT_RANK, now, now)
        wait_ms = self.queue.estimate_start(queued, now) * 1000
        load = self.read_load()
        if refusal in (Refusal.FULL, Refusal.LATE) and self.warmup.pace.is_paced(now):
            self.warmup.refusals += 1
        self._log(
            "refused by the owner",
            request=request.request_id.decode(),
            refusal=refusal.value,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            slowdown=load.slowdown,
            wait_ms=round(wait_ms, 1),
            cold_per_s=load.cold_per_s,
            **self.queue.describe_share(queued.team, now),
        )
        evacuated = refusal is Refusal.EVACUATED
        metadata = ResponseMetadata(
            ran=False,
            load=load,
            refusal=refusal,
            wait_ms=round(wait_ms, 1),
            reached=reached,
            evacuations=self.zone_guard.report_refusal() if evacuated else None,
        )
        return OwnerResponse(metadata)


def _find_standing(metadata: CallMetadata) -> Standing | None:
    if not metadata.team:
        return None
    return Standing(metadata.team, metadata.team_priority, metadata.priority)


def _compute_fingerprint(metadata: CallMetadata, request: ForwardedRequest, body: bytes) -> str:
    return request.compute_fingerprint(identify_caller(metadata.caller, metadata.team), body)
