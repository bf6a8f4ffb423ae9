"""A call at its entry node: chooses endpoints, sends attempts and responds to the caller."""

from typing import TYPE_CHECKING

from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall
from corianderwall.model.errors import ErrorCode
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.verdict import Verdict
from corianderwall.node.admission import parse_load
from corianderwall.node.bodycollector import BodyCollector
from corianderwall.node.callhead import (
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    ENDPOINT_HEADER,
    HOP_HEADER,
    HOP_OWNER,
    LOAD_HEADER,
    NODE_HEADERS,
    RETRY_AFTER_HEADER,
    ROUTE_HEADER,
)
from corianderwall.node.logs import log_warning
from corianderwall.node.responseflow import ResponseFlow
from corianderwall.node.responses import CallError, is_final, read_error_code, respond_error
from corianderwall.traffic.fingerprint import compute_fingerprint
from corianderwall.traffic.retries import FailedAttempt

if TYPE_CHECKING:
    from corianderwall.httpflow.attempt import ResponseHead
    from corianderwall.httpflow.call import IncomingCall
    from corianderwall.httpflow.flow import Headers
    from corianderwall.model.endpoint import Endpoint
    from corianderwall.node.attemptsender import AttemptSender, RunningAttempt
    from corianderwall.node.callcontext import CallContext
    from corianderwall.node.callhead import CallHead
    from corianderwall.traffic.lease_holder import NextHop
    from corianderwall.traffic.routing import RouteChoice

MAX_REPLAY_BODY_BYTES = 64 * 1024
"""Size up to which a request body is kept, so that the call can be retried."""

_ENDPOINT_GONE_CODES = frozenset((ErrorCode.NO_ENDPOINT, ErrorCode.NOT_READY))
"""Error codes of an owner whose endpoint takes no calls at all, from any subscriber."""

MAX_OWNER_CONNECTIONS = 128
"""Limit on connections to another node for calls that it forwards to its endpoint."""


class EntryCall:
    """Makes the attempts of one call until one gets a response or no retry is allowed."""

    __slots__ = (
        "_attempt",
        "_attempt_count",
        "_body",
        "_call",
        "_choice",
        "_context",
        "_deadline",
        "_done",
        "_ejected",
        "_endpoint",
        "_fingerprint",
        "_flow",
        "_head",
        "_hop",
        "_outstanding",
        "_sent_at",
        "_started_at",
        "_tried_endpoints",
        "_verdict",
        "_version",
    )

    def __init__(
        self,
        context: "CallContext",
        call: "IncomingCall",
        head: "CallHead",
        choice: "RouteChoice",
        version: str,
        flow: str,
        deadline: float,
        now: float,
    ) -> None:
        self._context = context
        self._call = call
        self._head = head
        self._choice = choice
        self._version = version
        self._flow = flow
        self._deadline = deadline
        self._started_at = now
        self._sent_at = now
        self._body: bytes | None = None
        self._attempt: RunningAttempt | None = None
        self._endpoint: Endpoint | None = None
        self._hop: NextHop | None = None
        self._ejected = context.moves.list_ejected(choice.service)
        self._tried_endpoints: set[str] = set()
        self._outstanding = 0
        self._attempt_count = 0
        self._verdict = Verdict.NOT_RUN
        self._fingerprint = ""
        self._done = False

    def start(self) -> None:
        """Send the first attempt, after reading the body if it is short enough to be kept."""
        self._context.retries.add_call(self._choice.service)
        self._call.on_disconnect = self._hang_up
        self._body = self._call.take_body()
        length = self._call.body_length
        if self._body is None and length is not None and length <= MAX_REPLAY_BODY_BYTES:
            self._call.read_body(BodyCollector(self.take_whole_body))
        else:
            self._send()

    def take_whole_body(self, body: bytes) -> None:
        """Send the first attempt with the complete body."""
        self._body = body
        self._send()

    def end_attempt(self, result: AttemptResult, *, responded: bool) -> None:
        """Record the result of an attempt; retry or respond unless the caller has its response."""
        now = self._context.clock.read_monotonic()
        self._attempt = None
        self._record(result, now)
        if self._done:
            return
        if responded:
            self._finish(result.status, now)
            return
        if result.verdict is not Verdict.NOT_RUN:
            self._verdict = result.verdict
        if not self._retry(result, now):
            self._fail(result, now)

    def _send(self) -> None:
        if self._done:
            return
        now = self._context.clock.read_monotonic()
        if self._is_quarantined(now):
            return
        endpoint = self._choose(now)
        if endpoint is None:
            self._respond(
                ErrorCode.NO_ENDPOINT, "no endpoint of the service accepts calls", 1.0, now
            )
            return
        self._attempt_count += 1
        self._tried_endpoints.add(endpoint.name)
        self._sent_at = now
        self._endpoint = endpoint
        sender, outgoing = self._prepare(endpoint, now)
        if self._counts_as_load():
            self._outstanding = self._context.balancer.start(endpoint.name)
        from_owner = self._hop is not None and not self._hop.direct
        flow = ResponseFlow(self._call, self, from_owner=from_owner)
        self._attempt = flow.attempt = attempt = sender.send(outgoing, flow)
        if self._body is None:
            self._call.read_body(attempt)

    def _is_quarantined(self, now: float) -> bool:
        """Return whether the request was refused for its crashes; begin its trial if it is due."""
        suspects = self._context.suspects
        fingerprint = "" if suspects.is_empty else self._find_fingerprint()
        if not fingerprint:
            return False
        release = suspects.find_release(fingerprint, now)
        if release is not None:
            sentence = "the request has crashed the endpoints that ran it"
            self._respond(ErrorCode.QUARANTINED, sentence, release - now, now)
            return True
        if suspects.needs_trial(fingerprint):
            self._context.crashes.start_trial(fingerprint)
        return False

    def _find_fingerprint(self) -> str:
        """Return what tells whether this is another attempt, empty if the body isn't kept."""
        if not self._fingerprint and self._body is not None:
            self._fingerprint = compute_fingerprint(
                caller=self._head.subscriber,
                method=self._call.method,
                # A caller may use the address of a node as the host, so it differs between nodes.
                destination=self._choice.service.encode(),
                target=self._call.target,
                body=self._body,
            )
        return self._fingerprint

    def _choose(self, now: float) -> "Endpoint | None":
        """Return an endpoint, preferably one that this call has not tried yet."""
        choose = self._context.balancer.choose
        service, version = self._choice.service, self._version
        over_share = self._context.leases.find_over_share(self._flow)
        if self._tried_endpoints:
            endpoint = choose(
                service, version, now, self._ejected | self._tried_endpoints, over_share
            )
            if endpoint is not None:
                return endpoint
        return choose(service, version, now, self._ejected, over_share)

    def _counts_as_load(self) -> bool:
        """Return whether the attempt counts in the endpoint's load.

        The call of a subscriber over its share is delayed by that share and not by the load.
        """
        return self._hop is None or not self._hop.is_over_share

    def _prepare(self, endpoint: "Endpoint", now: float) -> "tuple[AttemptSender, OutgoingCall]":
        context = self._context
        headers = self._make_headers(now)
        sender: AttemptSender
        if endpoint.node == context.node:
            sender = context.admission.make_sender(self._flow)
        else:
            self._hop = context.leases.acquire(endpoint, self._flow, self._deadline, now)
            if self._hop.direct:
                limit = context.leases.read_connection_limit(endpoint.name, now)
                sender = context.pools.find(endpoint.address, max(1, limit))
            else:
                address = context.find_call_address(endpoint.node) or endpoint.address
                sender = context.pools.find(address, MAX_OWNER_CONNECTIONS)
                headers.append((HOP_HEADER, HOP_OWNER))
                headers.append((ENDPOINT_HEADER, endpoint.name.encode("ascii")))
        outgoing = OutgoingCall(
            method=self._call.method,
            target=self._call.target,
            headers=headers,
            deadline=self._deadline,
            idempotent=self._choice.idempotent,
        )
        if self._body is not None:
            outgoing.body = self._body
        else:
            outgoing.streamed = True
            outgoing.body_length = self._call.body_length
            outgoing.source = self._call
        return sender, outgoing

    def _make_headers(self, now: float) -> "Headers":
        headers = [header for header in self._call.headers if header[0] not in NODE_HEADERS]
        if self._call.find_header(CALL_ID_HEADER) is None:
            headers.append((CALL_ID_HEADER, self._head.call_id.encode("latin-1")))
        unix_ms = int((self._context.clock.read_unix() + self._deadline - now) * 1000)
        headers.append((DEADLINE_HEADER, b"%d" % unix_ms))
        headers.append((ROUTE_HEADER, self._choice.route.encode("ascii")))
        return headers

    def _record(self, result: AttemptResult, now: float) -> None:
        """Release the lease of an attempt and report its outcome to balancer, moves and metrics."""
        endpoint, self._endpoint = self._endpoint, None
        if endpoint is None:
            return
        hop, self._hop = self._hop, None
        if hop is not None:
            self._context.leases.release(hop, now)
        self._read_load(endpoint, result.head, now)
        self._report_suspect(endpoint, result)
        outcome = AttemptOutcome(
            service=self._choice.service,
            version=self._version,
            route=self._choice.route,
            endpoint=endpoint.name,
            subscriber=self._head.subscriber,
            verdict=result.verdict,
            status=result.status if result.complete or result.refused else 0,
            latency_s=now - self._sent_at,
            refused=result.refused,
            outstanding=self._outstanding,
            cancelled=result.error is ErrorCode.CANCELLED,
        )
        if hop is None or not hop.is_over_share:
            is_direct = hop is not None and hop.direct
            self._context.balancer.finish(
                outcome,
                now,
                retry_after_s=read_retry_after(result.head),
                is_handed_over=not is_direct
                and read_error_code(result.head) not in _ENDPOINT_GONE_CODES,
            )
        if not _is_owner_lost(result, hop):
            self._context.moves.record(outcome)
        self._context.metrics.count_attempt(outcome, _name_way(hop))

    def _report_suspect(self, endpoint: "Endpoint", result: AttemptResult) -> None:
        """Report a call without a complete response, or that the endpoint has answered it."""
        is_lost = result.error is ErrorCode.UPSTREAM_LOST and result.verdict is not Verdict.NOT_RUN
        is_answered = result.complete and not result.refused and result.verdict is Verdict.RAN
        if not is_lost and (self._context.suspects.is_empty or not is_answered):
            return
        fingerprint = self._find_fingerprint()
        if fingerprint and is_lost:
            self._context.crashes.report_loss(endpoint, self._head.call_id, fingerprint)
        elif fingerprint:
            self._context.crashes.record_response(fingerprint)

    def _read_load(self, endpoint: "Endpoint", head: "ResponseHead | None", now: float) -> None:
        value = head.find_header(LOAD_HEADER) if head is not None else None
        running = parse_load(value) if value is not None else None
        if running is not None:
            self._context.balancer.report_load(endpoint.name, running, now)

    def _retry(self, result: AttemptResult, now: float) -> bool:
        if self._body is None or self._attempt_count >= self._context.max_attempts:
            return False
        if self._fingerprint and self._context.suspects.needs_trial(self._fingerprint):
            # One endpoint is enough for a trial.
            return False
        # The retry-after of one endpoint does not apply to another one.
        has_reused_endpoint = len(self._tried_endpoints) < self._attempt_count
        failed = FailedAttempt(
            service=self._choice.service,
            verdict=result.verdict,
            idempotent=self._choice.idempotent,
            attempt=self._attempt_count,
            deadline=self._deadline,
            retry_after_s=read_retry_after(result.head) if has_reused_endpoint else 0.0,
            is_final=is_final(result.head),
        )
        decision = self._context.retries.decide(failed, now)
        self._context.metrics.count_retry(failed.service, decision.reason.value)
        if decision.is_retried:
            self._context.call_later(max(0.0, decision.start_at - now), self._send)
        return decision.is_retried

    def _fail(self, result: AttemptResult, now: float) -> None:
        retry_after_s = read_retry_after(result.head)
        match read_error_code(result.head) or result.error:
            case ErrorCode.DEADLINE_EXCEEDED:
                code, sentence = ErrorCode.DEADLINE_EXCEEDED, "the deadline of the call has passed"
            case ErrorCode.OVERLOADED | ErrorCode.UPSTREAM_REFUSED:
                code, sentence = (
                    ErrorCode.OVERLOADED,
                    "the upstream accepts no more calls at present",
                )
                retry_after_s = max(1.0, retry_after_s)
            case ErrorCode.NO_ENDPOINT:
                code, sentence = ErrorCode.NO_ENDPOINT, "the endpoint is gone"
            case _:
                code, sentence = ErrorCode.UPSTREAM_LOST, "the upstream sent no complete response"
        self._respond(code, sentence, retry_after_s, now)

    def _respond(self, code: ErrorCode, sentence: str, retry_after_s: float, now: float) -> None:
        error = CallError(code, sentence, self._verdict, retry_after_s=retry_after_s)
        status = respond_error(self._call, error)
        self._context.metrics.count_refusal(code)
        self._log_failure(code, now)
        self._finish(status, now)

    def _log_failure(self, code: ErrorCode, now: float) -> None:
        """Log a failed call that may have run, as an operator may have to check its effect."""
        if self._verdict is Verdict.NOT_RUN or not self._context.log_budget.take(now):
            return
        log_warning(
            "a call may have run without a complete response",
            call_id=self._head.call_id,
            code=code.value,
            route=self._choice.route,
            service=self._choice.service,
            service_version=self._version,
            subscriber=self._head.subscriber,
        )

    def _finish(self, status: int, now: float) -> None:
        self._done = True
        self._context.metrics.count_call(
            self._choice.service, self._version, status, now - self._started_at
        )

    def _hang_up(self) -> None:
        """Cancel the running attempt, as the caller has closed its connection."""
        self._done = True
        if self._attempt is not None:
            self._attempt.cancel()


def _name_way(hop: "NextHop | None") -> str:
    if hop is None:
        return "local"
    return "direct" if hop.direct else "owner"


def _is_owner_lost(result: AttemptResult, hop: "NextHop | None") -> bool:
    """Return whether the owner itself was lost, which says nothing about the service version.

    If only the upstream fails, its owner still responds: with an error while no response head has
    been sent, and by aborting the response after that.
    """
    is_handed_over = hop is not None and not hop.direct
    return is_handed_over and result.head is None and result.error is ErrorCode.UPSTREAM_LOST


def read_retry_after(head: "ResponseHead | None") -> float:
    """Return the seconds in the retry-after header of a refusal, 0 without a valid one."""
    value = head.find_header(RETRY_AFTER_HEADER) if head is not None else None
    return float(value) if value is not None and value.isdigit() and len(value) < 6 else 0.0
