"""The tasks on the platform: watching and reading the head, refreshing seeds, sweeping."""

from typing import TYPE_CHECKING

from twisted.internet.defer import CancelledError, Deferred

from corianderwall.model.errors import CorianderwallError
from corianderwall.node.logs import log_info, log_warning
from corianderwall.store.sweep import sweep_leases, sweep_objects
from corianderwall.store.watcher import HeadWatcher

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from corianderwall.model.endpoint import Host
    from corianderwall.model.resource import Snapshot
    from corianderwall.node.seedregistry import SeedRegistry
    from corianderwall.store.api import ObjectApi
    from corianderwall.store.document import StoredHead
    from corianderwall.store.head import HeadStore
    from corianderwall.store.timer import Timer

READ_TIMEOUT_S = 5.0
SEED_INTERVAL_S = 30.0
SWEEP_INTERVAL_S = 600.0
SEED_RETRY_S = 1.0
SEED_RETRY_CAP_S = 5.0


class PlatformTask:
    """Runs this node's watch, reads, seed refreshes and sweeps on the platform."""

    def __init__(
        self,
        *,
        api: "ObjectApi",
        store: "HeadStore",
        seed_registry: "SeedRegistry",
        timer: "Timer",
        random: "Random",
        offer: "Callable[[Snapshot, float | None], None]",
    ) -> None:
        self._api = api
        self._store = store
        self._seed_registry = seed_registry
        self._timer = timer
        self._random = random
        self._offer = offer
        self._watcher: HeadWatcher | None = None
        self._watch: Deferred[None] | None = None
        self._is_reading = False
        self._next_refresh = 0.0
        self._is_refreshing = False
        self._next_sweep = timer.read_monotonic() + SWEEP_INTERVAL_S * random.uniform(0.5, 1.5)

    @property
    def is_watching(self) -> bool:
        """Return whether this node watches the head."""
        return self._watch is not None

    def set_watching(self, watching: bool) -> None:
        """Start or stop watching the head."""
        if watching == self.is_watching:
            return
        if not watching:
            self.stop()
            return
        watcher = HeadWatcher(
            self._api,
            self._timer,
            self._random,
            self._offer_head,
            self._log_platform_error,
            self._restore_head,
        )
        log_info("watching the platform")
        self._watcher = watcher
        self._watch = Deferred.fromCoroutine(watcher.run())
        self._watch.addErrback(_log_unless_cancelled)

    def stop(self) -> None:
        """Stop watching the head."""
        if self._watcher is not None:
            self._watcher.stop()
        self._watcher = None
        watch, self._watch = self._watch, None
        if watch is not None:
            watch.cancel()

    def start_head_read(self) -> None:
        """Start a read of the head unless one is in progress."""
        if not self._is_reading:
            self._is_reading = True
            Deferred.fromCoroutine(self._read_head())

    def refresh_seeds(
        self, list_live: "Callable[[], tuple[Host, ...]]", join: "Callable[[Host], None]"
    ) -> None:
        """Keep live nodes in the seed object and join through seeds that this node doesn't know."""
        now = self._timer.read_monotonic()
        if self._is_refreshing or now < self._next_refresh:
            return
        self._is_refreshing = True
        self._next_refresh = now + SEED_INTERVAL_S * self._random.uniform(0.5, 1.5)
        Deferred.fromCoroutine(self._refresh(list_live, join))

    def sweep(self) -> None:
        """Delete obsolete objects periodically; concurrent sweeps by several nodes are safe."""
        now = self._timer.read_monotonic()
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_INTERVAL_S * self._random.uniform(0.5, 1.5)
            Deferred.fromCoroutine(self._sweep(now))

    async def find_seeds(self) -> "tuple[Host, ...]":
        """Return the nodes to join through, none if this node is the first of the mesh.

        Retries, with jitter, until the platform has responded.
        """
        attempt = 0
        while True:
            try:
                seeds = await self._seed_registry.read()
                if seeds or await self._seed_registry.register_if_first():
                    return seeds
            except CorianderwallError as error:
                log_warning(
                    "can't read seeds from the platform yet",
                    code=error.code.value,
                    why=error.sentence,
                )
            attempt += 1
            ceiling = min(SEED_RETRY_CAP_S, SEED_RETRY_S * 2**attempt)
            await self._timer.sleep(self._random.uniform(0, ceiling))

    async def _read_head(self) -> None:
        asked_at = self._timer.read_monotonic()
        try:
            stored = await self._store.read_head(deadline=asked_at + READ_TIMEOUT_S)
            self._offer(stored.head.snapshot, asked_at)
        except CorianderwallError as error:
            self._log_platform_error(error)
        finally:
            self._is_reading = False

    async def _sweep(self, now: float) -> None:
        try:
            stored = await self._store.read_head(deadline=now + READ_TIMEOUT_S)
            objects = await sweep_objects(self._api, stored)
            leases = await sweep_leases(self._api, unix_ms=int(self._timer.read_unix() * 1000))
            log_info("deleted obsolete objects from the platform", objects=objects, leases=leases)
        except CorianderwallError as error:
            self._log_platform_error(error)

    async def _refresh(
        self, list_live: "Callable[[], tuple[Host, ...]]", join: "Callable[[Host], None]"
    ) -> None:
        try:
            for host in await self._seed_registry.refresh(list_live):
                join(host)
        except CorianderwallError as error:
            self._log_platform_error(error)
        finally:
            self._is_refreshing = False

    async def _restore_head(self, found: "StoredHead") -> None:
        log_warning("the platform has come back from an earlier copy", version=found.head.version)
        deadline = self._timer.read_monotonic() + READ_TIMEOUT_S
        await self._store.restore_head(found, deadline=deadline)

    def _offer_head(self, stored: "StoredHead") -> None:
        self._store.remember_head(stored)
        self._offer(stored.head.snapshot, None)

    def _log_platform_error(self, error: CorianderwallError) -> None:
        log_warning("a request to the platform failed", code=error.code.value, why=error.sentence)


def _log_unless_cancelled(failure: "object") -> None:
    check = getattr(failure, "check", None)
    if check is not None and check(CancelledError) is None:
        log_warning("the watch of the platform ended unexpectedly", failure=str(failure))
