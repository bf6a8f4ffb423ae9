"""The calls that run at the endpoint beside this node, and those that wait there."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import CancelledError, Deferred

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.mesh.admission import Admission, AdmissionQueue, Ticket
from corianderwall.mesh.endpoint import EndpointKeeper
from corianderwall.mesh.exchange import Exchange, run_exchange
from corianderwall.mesh.messages import (
    AnswerNote,
    CallNote,
    EndpointRecord,
    EndpointState,
    Load,
    Refusal,
)
from corianderwall.mesh.owner import ForwardedRequest, OwnerAnswer
from corianderwall.mesh.settings import HeaderNames, HostSettings
from corianderwall.mesh.uplink import Uplink
from corianderwall.node.logs import LogBudget, log_info, log_warning

MISDIRECTED = 421
SERVER_ERROR = 500
FAILURE_WEIGHT = 0.1
"""Weight of the newest call in the share of failures; follows a change within ten calls."""
CALL_LINES_PER_S = 200
"""Log lines of calls in a second; several times what an endpoint runs."""
WAITING_TICK_S = 0.05
"""Interval at which waiting calls are looked at; callers told that late still come back in time."""
DEADLINE_MARGIN_S = 0.1
"""Time beyond the deadline after which the owner gives a call up by itself; the entry is first."""
UNRANKED = 1
"""Rank at which the wait is told to a call that was refused before it was ranked."""
DEFAULT_CONNECTIONS = 64
"""Connections to the endpoint when the configuration names no limit; above any slot count."""
KEPT_IDLE_S = 8.0
"""Idle time after which a connection is not used again; endpoints close theirs soon after."""
STALE_AFTER_S = 0.2
"""Idle time after which a connection is looked at before its use; endpoints close some early."""
KEPT_UNSAFE_IDLE_S = 2.0
"""The same for a call that may not be repeated, which a reset would lose."""


@dataclass(slots=True)
class RunningCall:
    """A call at the endpoint; `repeat` if its run counts as a repeated one.

    `starved` is set once a call that it made has failed: its own failure then says nothing about
    the endpoint or its version.
    """

    repeat: bool
    starved: bool = False


class EndpointGate:
    """Owns the queue and the connections of one endpoint address.

    `on_change` is called with each new record of the endpoint, so that the peers hear of it.
    """

    def __init__(
        self,
        settings: HostSettings,
        headers: HeaderNames,
        on_change: Callable[[EndpointRecord], None],
        on_result: Callable[[str, str, bool, float], None],
        uplink: Uplink,
        find_known: Callable[[str], EndpointRecord | None] = lambda _: None,
    ) -> None:
        self.endpoint = EndpointKeeper(settings, self._use_start, self._use_change, find_known)
        self.queue = AdmissionQueue(0, uplink)
        self.closing = False
        self.synced = False
        self.lines = LogBudget(CALL_LINES_PER_S)
        self._settings = settings
        self._headers = headers
        self._on_change = on_change
        self._on_result = on_result
        self._uplink = uplink
        self._loop = asyncio.get_running_loop()
        self._pool = self._make_pool()
        self._running: dict[bytes, RunningCall] = {}
        self._waiting_timer: asyncio.TimerHandle | None = None
        self._waits: dict[Ticket, Deferred[Refusal | None]] = {}
        self._failures = 0.0

    @property
    def record(self) -> EndpointRecord | None:
        """Return what is believed of the endpoint, None while it has not been heard."""
        return self.endpoint.record

    # What the node and the endpoint tell.

    def limit_connections(self, limit: int) -> None:
        """Bound the connections to the endpoint."""
        self._pool.max_connections = limit or DEFAULT_CONNECTIONS

    # What entries ask.

    def read_load(self) -> Load:
        """Return how busy the endpoint is."""
        queue = self.queue
        return Load(
            running=len(queue.running),
            waiting=len(queue.waiting),
            slots=queue.slots,
            service_ms=round(queue.mean_s * 1000, 1),
            failures=round(self._failures, 3),
        )

    async def serve(self, note: CallNote, request: ForwardedRequest) -> OwnerAnswer:
        """Run a call at the endpoint, or refuse it before it is sent."""
        now = self._loop.time()
        deadline = now + note.left_ms / 1000
        refusal = self._find_refusal(note.endpoint)
        if refusal is not None:
            return self._refuse(request, refusal)
        rank = 0 if note.nested else 1 + note.priority
        sending_s = self._uplink.estimate_sending(note.route) if note.over_link else 0.0
        due = now + note.due_ms / 1000
        ticket = Ticket(note.route, rank, due, deadline, sending_s)
        try:
            refusal = await self._admit(ticket, note)
        except CancelledError:
            self._log_given_up(request, note, "waiting", now)
            raise
        if refusal is not None:
            return self._refuse(request, refusal, ticket)
        exchange: Exchange | None = None
        running = self._running[request.request_id] = RunningCall(note.repeat)
        try:
            exchange = await self._send(note, request, deadline)
        except CancelledError:
            self._log_given_up(request, note, "running", ticket.started)
            raise
        finally:
            ran = exchange is not None and exchange.answer is not None
            self._running.pop(request.request_id, None)
            self.queue.finish(ticket, self._loop.time(), ran=ran)
            self._advance()
        ended = self._loop.time()
        whole_ms = round((ended - now) * 1000, 1)
        took_s = ended - ticket.started
        return self._judge(note, request, exchange, took_s, whole_ms, starved=running.starved)

    def find_parent(self, request_id: bytes) -> RunningCall | None:
        """Return the call at the endpoint whose id `request_id` extends, None if there is none.

        The running call needs the one that it makes, so refusing that wastes what has been done.
        """
        parent = request_id.rpartition(b".")[0]
        return self._running.get(parent) if parent else None

    def close(self) -> None:
        """Refuse what waits and take nothing more; running calls go on."""
        self.closing = True
        self._refuse_waiting(Refusal.LEAVING)

    # Details.

    def _make_pool(self) -> UpstreamPool:
        limits = ClientLimits(
            max_idle_s=KEPT_IDLE_S,
            max_non_idempotent_idle_s=KEPT_UNSAFE_IDLE_S,
            # Calls take as long as they take here; comparisons would cost the endpoint slots.
            stalled_after_s=math.inf,
            stale_after_s=STALE_AFTER_S,
        )
        return UpstreamPool(self._settings.endpoint, DEFAULT_CONNECTIONS, limits)

    def _use_start(self, record: EndpointRecord) -> None:
        """Begin afresh with an endpoint that has just started: it knows nothing of before."""
        self._refuse_waiting(Refusal.UNKNOWN)
        self._pool.close()
        self._pool = self._make_pool()
        self._failures = 0.0
        self.queue = AdmissionQueue(record.slots, self._uplink)

    def _use_change(self, record: EndpointRecord) -> None:
        """Refuse what waits if the endpoint may not be used any more, and tell of the change."""
        self.queue.slots = record.slots
        if record.state in (EndpointState.DRAINING, EndpointState.GONE):
            self._refuse_waiting(Refusal.LEAVING)
        elif record.state is EndpointState.DOWN:
            self._refuse_waiting(Refusal.DOWN)
        self._on_change(record)

    def _find_refusal(self, endpoint: str) -> Refusal | None:
        record = self.record
        if self.closing:
            return Refusal.LEAVING
        if not self.synced:
            # An earlier process here may have acknowledged that the endpoint leaves.
            return Refusal.UNKNOWN
        if record is None or record.id != endpoint:
            return Refusal.UNKNOWN
        if record.state is EndpointState.DOWN:
            return Refusal.DOWN
        if record.state is not EndpointState.READY:
            return Refusal.LEAVING
        return None

    async def _admit(self, ticket: Ticket, note: CallNote) -> Refusal | None:
        queue = self.queue
        admission = queue.offer(ticket, self._loop.time(), may_wait=note.may_wait)
        if admission is Admission.FULL:
            return Refusal.FULL
        if admission is Admission.LATE:
            return Refusal.LATE
        if admission is Admission.START:
            return None
        wait: Deferred[Refusal | None] = Deferred()
        self._waits[ticket] = wait
        self._watch_waiting()
        try:
            return await wait
        except CancelledError:
            queue.withdraw(ticket)
            if ticket in queue.running:
                queue.finish(ticket, self._loop.time(), ran=False)
                self._advance()
            raise
        finally:
            self._waits.pop(ticket, None)

    def _advance(self) -> None:
        started, late = self.queue.advance(self._loop.time())
        for ticket in started:
            self._settle(ticket, None)
        for ticket in late:
            self._settle(ticket, Refusal.LATE)

    def _watch_waiting(self) -> None:
        """Look at the waiting calls until there are none: no freed slot tells when one is late."""
        if self._waiting_timer is None and self._waits:
            self._waiting_timer = self._loop.call_later(WAITING_TICK_S, self._tick_waiting)

    def _tick_waiting(self) -> None:
        self._waiting_timer = None
        self._advance()
        self._watch_waiting()

    def _refuse_waiting(self, refusal: Refusal) -> None:
        for ticket in self.queue.clear_waiting():
            self._settle(ticket, refusal)

    def _settle(self, ticket: Ticket, refusal: Refusal | None) -> None:
        wait = self._waits.pop(ticket, None)
        if wait is not None:
            wait.callback(refusal)

    async def _send(self, note: CallNote, request: ForwardedRequest, deadline: float) -> Exchange:
        names = self._headers
        left_ms = max(1, int((deadline - self._loop.time()) * 1000))
        headers = [
            *request.headers,
            (names.deadline_ms, b"%d" % left_ms),
            (names.expected_instance, note.endpoint.encode()),
            (names.caller, note.caller.encode()),
        ]
        call = OutgoingCall(
            method=request.method,
            target=request.target,
            headers=headers,
            deadline=deadline + DEADLINE_MARGIN_S,
            idempotent=note.idempotent,
            body=request.body,
        )
        return await run_exchange(self._pool, call, (names.request_id, request.request_id))

    def _judge(
        self,
        note: CallNote,
        request: ForwardedRequest,
        exchange: Exchange,
        took_s: float,
        whole_ms: float,
        *,
        starved: bool,
    ) -> OwnerAnswer:
        answer = exchange.answer
        if answer is None:
            return self._judge_failure(note, request, exchange)
        self.endpoint.note_answer()
        if answer.status == MISDIRECTED:
            log_warning("another endpoint has the address", endpoint=note.endpoint)
            self.endpoint.take_down("misdirected")
            return self._refuse(request, Refusal.UNKNOWN, reached=True)
        if answer.find_header(self._headers.not_run) is not None:
            self._count(note, failed=True, took_s=took_s, ran=False)
            return self._refuse(request, Refusal.SHED, reached=True)
        failed = answer.status >= SERVER_ERROR
        if not failed:
            self._uplink.sizes.note(note.route, len(answer.body))
        if not (failed and starved):
            self._count(note, failed=failed, took_s=took_s, ran=True)
        self._log(
            "ran",
            request=request.request_id.decode(),
            endpoint=note.endpoint,
            status=answer.status,
            took_ms=round(took_s * 1000, 1),
            starved=starved,
        )
        return OwnerAnswer(AnswerNote(ran=True, load=self.read_load(), took_ms=whole_ms), answer)

    def _judge_failure(
        self, note: CallNote, request: ForwardedRequest, exchange: Exchange
    ) -> OwnerAnswer:
        error = exchange.error.value if exchange.error is not None else ""
        self._log(
            "endpoint did not answer",
            request=request.request_id.decode(),
            endpoint=note.endpoint,
            handed_over=exchange.handed_over,
            error=error,
        )
        if not exchange.handed_over:
            record = self.record
            if record is not None and record.id == note.endpoint:
                self.endpoint.take_down("no connection")
            return self._refuse(request, Refusal.DOWN)
        self._count(note, failed=True, took_s=0.0, ran=False)
        return OwnerAnswer(AnswerNote(ran=None, load=self.read_load(), error=error))

    def _log(self, message: str, **fields: object) -> None:
        if self.lines.take(self._loop.time()):
            log_info(message, **fields)

    def _log_given_up(
        self, request: ForwardedRequest, note: CallNote, phase: str, since: float
    ) -> None:
        """Log that the entry gave up a call: its deadline has passed, or its caller has left."""
        self._log(
            "given up by the entry",
            request=request.request_id.decode(),
            endpoint=note.endpoint,
            phase=phase,
            took_ms=round((self._loop.time() - since) * 1000, 1),
        )

    def _count(self, note: CallNote, *, failed: bool, took_s: float, ran: bool) -> None:
        self._failures += FAILURE_WEIGHT * (float(failed) - self._failures)
        self._on_result(note.route, note.endpoint, failed, took_s if ran else 0.0)

    def _refuse(
        self,
        request: ForwardedRequest,
        refusal: Refusal,
        ticket: Ticket | None = None,
        *,
        reached: bool = False,
    ) -> OwnerAnswer:
        now = self._loop.time()
        ticket = ticket or Ticket("", UNRANKED, now, now)
        wait_ms = self.queue.estimate_start(ticket, now) * 1000
        load = self.read_load()
        self._log(
            "refused by the owner",
            request=request.request_id.decode(),
            refusal=refusal.value,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            wait_ms=round(wait_ms, 1),
        )
        note = AnswerNote(
            ran=False, load=load, refusal=refusal, wait_ms=round(wait_ms, 1), reached=reached
        )
        return OwnerAnswer(note)
