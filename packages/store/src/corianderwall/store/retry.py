"""Retries platform calls that had no effect or are idempotent, until a deadline."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.store.backoff import Backoff
from corianderwall.store.timer import Timer

T = TypeVar("T")

RETRYABLE_CODES = frozenset(
    {ErrorCode.PLATFORM_UNAVAILABLE, ErrorCode.PLATFORM_THROTTLED, ErrorCode.OUTCOME_UNKNOWN}
)


class Retrier:
    """Retries a call, with a backoff between attempts that respects the platform's retry delay."""

    def __init__(self, timer: Timer, random: Random, backoff: Backoff) -> None:
        self._timer = timer
        self._random = random
        self._backoff = backoff

    async def run(self, call: Callable[[], Awaitable[T]], *, deadline: float) -> T:
        """Return the first result, or raise the last error if no time is left for a retry."""
        attempt = 0
        while True:
            try:
                return await call()
            except CorianderwallError as error:
                if error.code not in RETRYABLE_CODES:
                    raise
                attempt += 1
                if not await self.wait_before_retry(
                    attempt, error.retry_after_s, deadline=deadline
                ):
                    raise

    async def wait_before_retry(self, attempt: int, min_delay_s: float, *, deadline: float) -> bool:
        """Wait before the next attempt; return False if it would start after the deadline."""
        delay = max(min_delay_s, self._backoff.compute_delay(attempt, self._random))
        if self._timer.read_monotonic() + delay >= deadline:
            return False
        await self._timer.sleep(delay)
        return True
