"""Finds out whether an endpoint has ended while it ran calls."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from corianderwall.model.endpoint import Address
from corianderwall.node.logs import log_info

CHECK_DELAY_S = 0.02
"""Time from the first lost call to the check; all connections of an endpoint that ends break now,
and it takes far longer to start again."""
PROBE_TIMEOUT_S = 0.3
"""Timeout of the check; it connects within this host."""


@dataclass(frozen=True, slots=True)
class LostCall:
    """A call that was sent to an endpoint and got no complete response."""

    request: str
    fingerprint: str


async def probe_listener(address: Address) -> bool | None:
    """Return whether something listens at `address`, or None if it doesn't respond."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return False
    except OSError:
        # This includes `TimeoutError`.
        return None
    writer.close()
    return True


class CrashDetector:
    """Checks after a lost call whether the endpoint still listens.

    A connection can be lost without the end of the endpoint, and then its calls say nothing. If it
    has ended, `on_crash` is called with the name of its start and the calls that it ran.
    `may_connect` returns whether one more connection to the endpoint is allowed.
    """

    def __init__(
        self,
        address: Address,
        may_connect: Callable[[], bool],
        on_crash: Callable[[str, tuple[LostCall, ...]], None],
    ) -> None:
        self._address = address
        self._may_connect = may_connect
        self._on_crash = on_crash
        self._loop = asyncio.get_running_loop()
        self._lost: list[LostCall] = []
        self._check: asyncio.Task[None] | None = None

    def record_loss(self, start: str, call: LostCall) -> None:
        """Record that this start of the endpoint has lost `call`; a check follows."""
        self._lost.append(call)
        if self._check is None:
            self._check = self._loop.create_task(self._run_check(start))

    def close(self) -> None:
        """Cancel a running check."""
        if self._check is not None:
            self._check.cancel()

    async def _run_check(self, start: str) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        # An endpoint that holds as many connections as it may have is there.
        listening = await probe_listener(self._address) if self._may_connect() else True
        calls, self._lost = tuple(self._lost), []
        self._check = None
        if listening is False:
            self._on_crash(start, calls)
        else:
            log_info(
                "the endpoint has lost calls and still listens",
                start=start,
                responds=listening is True,
                calls=[call.request for call in calls],
            )
