"""Watches the head with long polls that resume from the last revision."""

from collections.abc import Awaitable, Callable
from random import Random

from corianderwall.model.errors import CorianderwallError
from corianderwall.store.api import ObjectApi
from corianderwall.store.backoff import Backoff
from corianderwall.store.document import EMPTY_HEAD, HEAD_KEY, StoredHead
from corianderwall.store.head import load_head
from corianderwall.store.timer import Timer

MAX_POLL_WAIT_S = 2.0
"""Longest wait of one poll; short, so that an unresponsive connection is detected in time."""

MIN_POLL_INTERVAL_S = 1.0
WATCH_BACKOFF = Backoff(base_s=0.1, cap_s=5.0)


class HeadWatcher:
    """Passes each newer head to `deliver`, reports errors and retries after them.

    An earlier head, from a platform that has come back from a copy, goes to `restore`.
    """

    def __init__(
        self,
        api: ObjectApi,
        timer: Timer,
        random: Random,
        deliver: Callable[[StoredHead], None],
        report: Callable[[CorianderwallError], None],
        restore: Callable[[StoredHead], Awaitable[None]],
    ) -> None:
        self._api = api
        self._timer = timer
        self._random = random
        self._deliver = deliver
        self._report = report
        self._restore = restore
        self._newest = EMPTY_HEAD
        self._watched_revision = 0
        self._consecutive_failures = 0
        self._stopped = False

    async def run(self) -> None:
        """Watch the head until cancelled or stopped."""
        while not self._stopped:
            await self.poll()

    def stop(self) -> None:
        """Start no further poll and deliver no further head.

        Call this before cancelling `run`, because the poll in flight then ends with an error that
        looks like an outage.
        """
        self._stopped = True

    async def poll(self) -> None:
        """Make one long poll; after an error, report it and wait before the next poll."""
        started = self._timer.read_monotonic()
        try:
            stored = await self._api.watch(
                HEAD_KEY, after_revision=self._watched_revision, wait_s=MAX_POLL_WAIT_S
            )
            newer = None if stored is None else await load_head(self._api, stored)
            if newer is not None and newer.head.version < self._newest.head.version:
                await self._restore(newer)
        except CorianderwallError as error:
            if self._stopped:
                return
            self._report(error)
            self._consecutive_failures += 1
            delay = WATCH_BACKOFF.compute_delay(self._consecutive_failures, self._random)
            await self._timer.sleep(max(delay, error.retry_after_s))
            return
        self._consecutive_failures = 0
        if self._stopped:
            return
        if newer is not None:
            self._watched_revision = newer.revision
        if newer is None or newer.head.version <= self._newest.head.version:
            await self._limit_poll_rate(started)
            return
        self._newest = newer
        self._deliver(newer)

    async def _limit_poll_rate(self, started: float) -> None:
        """Limit the rate of polls in case the platform responds without waiting."""
        pause_s = started + MIN_POLL_INTERVAL_S - self._timer.read_monotonic()
        if pause_s > 0:
            await self._timer.sleep(pause_s)
