"""Follows the warm-up of the local endpoint and asks the endpoint about it when in doubt."""

import asyncio
from collections.abc import Callable

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.mesh.exchange import Exchange, Response, await_exchange
from corianderwall.mesh.messages import EndpointRecord, EndpointState
from corianderwall.mesh.pace import Pace, parse_left_s
from corianderwall.mesh.settings import Bounds, HeaderNames
from corianderwall.model.resource import Service
from corianderwall.node.logs import LogBudget, log_info, log_warning

CHECK_TIMEOUT_S = 0.5
"""Timeout of a health check, as of those that find the endpoint after a restart."""
LOG_LINES_PER_S = 10
"""Limit on log lines; a warm-up takes seconds and has a few."""
MISDIRECTED = 421


class WarmupMonitor:
    """Feeds the pace of the endpoint from announcements, responses, crashes and health checks.

    `get_pool` and `get_record` return what the gate uses at the moment. `on_change` is called when
    waiting calls may be able to start.
    """

    def __init__(
        self,
        bounds: Bounds,
        headers: HeaderNames,
        get_pool: Callable[[], UpstreamPool],
        get_record: Callable[[], EndpointRecord | None],
        on_change: Callable[[], None],
    ) -> None:
        self.pace = Pace(bounds.cold_over, bounds.cold_slack)
        self.cold_periods = 0
        self.checks = 0
        self.refusals = 0
        self._headers = headers
        self._get_pool = get_pool
        self._get_record = get_record
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._health_path = b"/health"
        self._was_cold = False
        self._check: asyncio.Task[None] | None = None
        self._log_budget = LogBudget(LOG_LINES_PER_S)

    def configure(self, service: Service) -> None:
        """Apply what the configuration says of the service of the endpoint."""
        self._health_path = service.health_path.encode()
        if self.pace.configure(service.warmup_s, service.warmup_per_s, self._loop.time()):
            log_info(
                "the warm-up of the service",
                service=service.name,
                warmup_s=service.warmup_s,
                warmup_per_s=service.warmup_per_s,
            )
            self._note_change("configured")

    def handle_start(self) -> None:
        """Start over for an endpoint that has started; its announcement follows."""
        self.pace.restart()

    def handle_crash(self) -> None:
        """Start over for an endpoint that has crashed."""
        self.pace.restart()
        self._note_change("crashed")

    def handle_statement(self, left_s: float | None) -> None:
        """Apply the warm-up left in an announcement, None if nothing is known."""
        if left_s is None:
            self.expect_cold("found by an earlier process's record")
            return
        self.pace.record_statement(left_s, self._loop.time())
        self._note_change("announced")

    def expect_cold(self, cause: str) -> None:
        """Count the endpoint as cold until it says what it is."""
        self.pace.expect_cold(self._loop.time())
        self._note_change(cause)

    def read_response(self, response: Response) -> None:
        """Apply the warm-up left that a response to a call names; it may have waited, if warm."""
        if parse_left_s(response.find_header(self._headers.warmup_left)):
            self.read_health(response)

    def read_health(self, response: Response | None) -> None:
        """Apply the warm-up left that a response to a health check names."""
        if response is None:
            return
        left_s = parse_left_s(response.find_header(self._headers.warmup_left))
        if left_s is not None:
            self.pace.record_statement(left_s, self._loop.time())
            self._note_change("named in a response")

    def prepare(self, assumed_per_s: float | None) -> None:
        """Ask the endpoint for its warm-up if a new call would have to be held back otherwise.

        `assumed_per_s` is the pace as an entry knows it, None if it knows of none.
        """
        if assumed_per_s is not None:
            self.pace.assume_rate(assumed_per_s, self._loop.time())
        record = self._get_record()
        if self._check is not None or record is None or record.state is not EndpointState.READY:
            return
        now = self._loop.time()
        if self.pace.needs_check(now):
            self.checks += 1
            check = self.pace.begin_check(now)
            self._check = self._loop.create_task(self._run_check(check, record.id))
            self._check.add_done_callback(self._finish_check)

    def close(self) -> None:
        """Cancel a running health check."""
        if self._check is not None:
            self._check.cancel()

    async def _run_check(self, check: int, endpoint: str) -> None:
        exchange = await self._send_check(endpoint)
        response = exchange.response
        left_s = None
        if response is not None and response.status != MISDIRECTED:
            left_s = parse_left_s(response.find_header(self._headers.warmup_left))
        answered = response is not None and response.status == 200
        self.pace.end_check(check, left_s, self._loop.time(), answered=answered)
        if left_s is None and self._log_budget.take(self._loop.time()):
            log_info(
                "a health check did not tell whether the endpoint is warm",
                endpoint=endpoint,
                status=response.status if response is not None else 0,
            )
        self._note_change("named in a health check")

    async def _send_check(self, endpoint: str) -> Exchange:
        call = OutgoingCall(
            method=b"GET",
            target=self._health_path,
            headers=[
                (b"host", b"endpoint"),
                (self._headers.expected_instance, endpoint.encode()),
            ],
            deadline=self._loop.time() + CHECK_TIMEOUT_S,
            idempotent=True,
        )
        return await await_exchange(self._get_pool(), call)

    def _finish_check(self, task: "asyncio.Task[None]") -> None:
        self._check = None
        if not task.cancelled() and task.exception() is not None:
            log_warning("a health check failed", error=repr(task.exception()))

    def _note_change(self, cause: str) -> None:
        """Log the begin and the end of a warm-up, and let waiting calls start."""
        now = self._loop.time()
        is_cold = self.pace.is_cold(now)
        if is_cold != self._was_cold:
            self._was_cold = is_cold
            self.cold_periods += is_cold
            if self._log_budget.take(now):
                record = self._get_record()
                log_info(
                    "the endpoint is cold" if is_cold else "the endpoint is warm",
                    endpoint=record.id if record is not None else "",
                    cause=cause,
                    recent_calls=self.pace.count_recent(now),
                    rate_per_s=self.pace.rate_per_s,
                    refused=self.refusals,
                )
        if self.pace.is_configured:
            self._on_change()
