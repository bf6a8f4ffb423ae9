"""Handles the calls that arrive at this node, from callers and from other entry nodes."""

from typing import TYPE_CHECKING

from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import EMPTY_SNAPSHOT
from corianderwall.model.verdict import Verdict
from corianderwall.node.callhead import ENDPOINT_HEADER, HOP_HEADER, read_call_head
from corianderwall.node.entry import EntryCall, read_retry_after
from corianderwall.node.responseflow import ResponseFlow
from corianderwall.node.responses import CallError, respond_error
from corianderwall.traffic.routing import RouteTable
from corianderwall.traffic.shares import SubscriberShares

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderwall.httpflow.call import IncomingCall
    from corianderwall.model.resource import Route, Snapshot
    from corianderwall.node.callcontext import CallContext
    from corianderwall.node.callhead import CallHead
    from corianderwall.traffic.routing import RouteChoice

_HOP_HEADERS = frozenset((HOP_HEADER, ENDPOINT_HEADER))


class Dispatcher:
    """Handles the calls of the call server; refuses callers before the first snapshot."""

    def __init__(
        self,
        context: "CallContext",
        *,
        default_timeout_s: float,
        max_running_calls: int,
        count_running: "Callable[[], int]",
    ) -> None:
        self._context = context
        self._default_timeout_s = default_timeout_s
        self._max_running_calls = max_running_calls
        self._count_running = count_running
        self._table: RouteTable | None = None
        self._routes: dict[str, Route] = {}
        self._shares = SubscriberShares(EMPTY_SNAPSHOT)

    @property
    def table(self) -> RouteTable | None:
        """The active route table, None before the first snapshot."""
        return self._table

    def install(self, snapshot: "Snapshot") -> None:
        """Use the routes and shares of `snapshot` for all later calls."""
        table = RouteTable.compile(snapshot)
        self._routes = {route.name: route for route in snapshot.routes}
        self._shares = SubscriberShares(snapshot)
        self._table = table

    def handle(self, call: "IncomingCall") -> None:
        """Route or forward one call, or respond with an error."""
        self._context.wake_share_timer()
        clock = self._context.clock
        now = clock.read_monotonic()
        try:
            self._check_running_calls()
            head = read_call_head(call, now=now, unix_s=clock.read_unix())
            if head.is_hop:
                self._handle_owner_call(call, head, now)
            else:
                self._handle_entry(call, head, now)
        except CorianderwallError as error:
            self._context.metrics.count_refusal(error.code)
            is_hop = call.find_header(HOP_HEADER) is not None
            respond_error(call, error, is_final=not is_hop)

    def _check_running_calls(self) -> None:
        if self._count_running() > self._max_running_calls:
            raise CorianderwallError(
                ErrorCode.OVERLOADED, "this node serves too many calls", retry_after_s=1.0
            )

    def _handle_entry(self, call: "IncomingCall", head: "CallHead", now: float) -> None:
        if self._table is None:
            raise CorianderwallError(
                ErrorCode.NOT_READY, "this node has no configuration yet", retry_after_s=1.0
            )
        choice = self._table.match(head.request, self._context.random)
        deadline = now + choice.timeout_ms / 1000
        if head.deadline is not None:
            deadline = min(deadline, head.deadline)
        if deadline <= now:
            raise CallError(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", Verdict.NOT_RUN)
        version = self._choose_version(choice, head)
        flow = self._shares.find_flow(head.subscriber)
        EntryCall(self._context, call, head, choice, version, flow, deadline, now).start()

    def _choose_version(self, choice: "RouteChoice", head: "CallHead") -> str:
        route = self._routes[choice.route]
        if route.pinned_version:
            return choice.version
        sticky = head.request.headers.get(route.sticky_header, "") if route.sticky_header else ""
        return self._context.moves.choose_version(choice.service, sticky) or choice.version

    def _handle_owner_call(self, call: "IncomingCall", head: "CallHead", now: float) -> None:
        endpoint = self._context.admission.endpoint
        endpoint_name = call.find_header(ENDPOINT_HEADER) or b""
        if endpoint is None or endpoint.name.encode("ascii") != endpoint_name:
            raise CorianderwallError(
                ErrorCode.NO_ENDPOINT, "the endpoint is no longer on this node"
            )
        if not self._context.admission.drain.accepts_work:
            raise CorianderwallError(ErrorCode.NO_ENDPOINT, "the endpoint is draining")
        deadline = head.deadline if head.deadline is not None else now + self._default_timeout_s
        OwnerCall(self._context, call, head, deadline).start()


class OwnerCall:
    """A call that an entry node sent to this node as owner; it makes a single attempt."""

    __slots__ = ("_attempt", "_call", "_context", "_deadline", "_head")

    def __init__(
        self, context: "CallContext", call: "IncomingCall", head: "CallHead", deadline: float
    ) -> None:
        self._context = context
        self._call = call
        self._head = head
        self._deadline = deadline

    def start(self) -> None:
        """Submit the call for admission to the endpoint."""
        call = self._call
        body = call.take_body()
        outgoing = OutgoingCall(
            method=call.method,
            target=call.target,
            headers=[header for header in call.headers if header[0] not in _HOP_HEADERS],
            deadline=self._deadline,
            idempotent=call.method == b"GET",
        )
        if body is not None:
            outgoing.body = body
        else:
            outgoing.streamed = True
            outgoing.body_length = call.body_length
            outgoing.source = call
        flow = ResponseFlow(call, self)
        sender = self._context.admission.make_sender(self._head.subscriber)
        flow.attempt = attempt = sender.send(outgoing, flow)
        call.on_disconnect = attempt.cancel
        if body is None:
            call.read_body(attempt)

    def end_attempt(self, result: AttemptResult, *, responded: bool) -> None:
        """Report a failed attempt to the entry node unless a response has been forwarded."""
        if responded or result.error is ErrorCode.CANCELLED:
            return
        code = result.error or ErrorCode.UPSTREAM_LOST
        if result.refused and code is ErrorCode.UPSTREAM_REFUSED:
            code = ErrorCode.OVERLOADED
        retry_after_s = read_retry_after(result.head)
        error = CallError(
            code,
            "the endpoint sent no complete response",
            result.verdict,
            retry_after_s=retry_after_s,
        )
        respond_error(self._call, error, is_final=False)
