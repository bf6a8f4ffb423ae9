"""Keeps acknowledged leaves at the platform, as a loss of all hosts ends every node's memory."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

from corianderwall.mesh.messages import Leave, LoadedLeaves
from corianderwall.mesh.source import Source, SourceError
from corianderwall.mesh.tasks import Spawn
from corianderwall.node.logs import log_info, log_warning

SAVE_TIMEOUT_S = 0.7
"""Longest wait for a write; the endpoint expects a response within a second."""
RETRY_MIN_S = 0.3
RETRY_MAX_S = 2.0
"""First and longest pause after a failed request to the platform."""
ASK_DELAY_S = 0.15
"""Time for an own write before peers are asked; ten times the usual one."""
ASK_INTERVAL_S = 0.1
"""First pause before peers are asked again; enough for a write of theirs."""
MAX_UNSAVED = 16
"""Leaves that are written at once; a host has one endpoint, so further ones are not genuine."""
RETENTION_S = 3600.0
"""Age at which a leave is deleted; no endpoint that leaves and no message of it lasts that long."""
SWEEP_INTERVAL_S = 600.0
"""Interval at which expired leaves are deleted, by one node of the fleet."""


class LeaveArchive:
    """Writes the leaves that this node acknowledges, and loads those of earlier processes.

    `on_loaded` is called with all leaves that the platform had when this process started. `ask`
    asks peers to write a leave, for a node that the platform turns away, and returns whether one
    of them has. `startup_s` is the time since this process was launched.
    """

    def __init__(
        self,
        node: str,
        source: Source,
        spawn: Spawn,
        on_loaded: Callable[[tuple[Leave, ...]], None],
        is_sweeper: Callable[[], bool],
        ask: Callable[[Leave], Coroutine[Any, Any, bool]],
        startup_s: float = 0.0,
    ) -> None:
        self.loaded = False
        self.saved_count = 0
        self._node = node
        self._source = source
        self._spawn = spawn
        self._on_loaded = on_loaded
        self._is_sweeper = is_sweeper
        self._ask = ask
        self._leaves: dict[str, Leave] = {}
        self._unsaved: dict[tuple[str, int], asyncio.Event] = {}
        self._loop = asyncio.get_running_loop()
        self._launched_at = self._loop.time() - startup_s
        # When this process asked the platform for the leaves that it has.
        self._read_at: float | None = None

    @property
    def unsaved_count(self) -> int:
        """Return the number of leaves that wait for their acknowledgement."""
        return len(self._unsaved)

    def list_leaves(self) -> tuple[Leave, ...]:
        """Return the leaves of all nodes that are known here to be at the platform."""
        return tuple(self._leaves.values())

    def merge(self, leaves: tuple[Leave, ...]) -> None:
        """Merge leaves that are at the platform."""
        for leave in leaves:
            known = self._leaves.get(leave.endpoint)
            if known is None or leave.at_unix_ms >= known.at_unix_ms:
                self._leaves[leave.endpoint] = leave

    async def save(self, leave: Leave) -> bool:
        """Write `leave` unless it is written already; return whether it is within the timeout.

        The write goes on after the timeout, so that the endpoint's next report can be acknowledged.
        """
        if self._is_saved(leave):
            return True
        saved = self._unsaved.get((leave.endpoint, leave.born_unix_ms))
        if saved is None:
            saved = self._start_write(leave, asks_peers=True)
            if saved is None:
                return False
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_S):
                await saved.wait()
        except TimeoutError:
            log_warning("a leave is not at the platform yet", endpoint=leave.endpoint)
            return False
        return True

    def accept(self, leave: Leave) -> bool:
        """Return whether a peer's leave is written, and try to write it once if it is not."""
        if self._is_saved(leave):
            return True
        if (leave.endpoint, leave.born_unix_ms) not in self._unsaved:
            self._start_write(leave, asks_peers=False)
        return False

    async def load(self) -> None:
        """Load the leaves of earlier processes, however long the platform is away."""
        pause_s = RETRY_MIN_S
        while not self.loaded:
            asked_at = self._loop.time()
            try:
                leaves = await self._source.list_leaves(stale=False)
            except SourceError as error:
                log_warning("loading the leaves failed", reason=error.reason)
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                continue
            self._read_at = asked_at
            self._finish_loading(leaves, "platform")

    def find_loaded(self, node: str) -> LoadedLeaves | None:
        """Return the leaves of `node`, None if this process has not read them itself."""
        if self._read_at is None:
            return None
        return LoadedLeaves(
            leaves=tuple(leave for leave in self._leaves.values() if leave.node == node),
            age_s=self._loop.time() - self._read_at,
        )

    def accept_loaded(self, loaded: LoadedLeaves, asked_at: float, peer: str) -> bool:
        """Take over the leaves that a peer has read, if it did so after the start of this process.

        By then the process before it had ended, so none of its leaves is missing.
        """
        if self.loaded or asked_at - loaded.age_s <= self._launched_at:
            return self.loaded
        self._finish_loading(loaded.leaves, peer)
        return True

    def _finish_loading(self, leaves: tuple[Leave, ...], origin: str) -> None:
        self.loaded = True
        self.merge(leaves)
        log_info("loaded the leaves", count=len(leaves), origin=origin)
        self._on_loaded(leaves)

    def restore(self) -> None:
        """Write this node's leaves again, since the platform may have lost them."""
        lost = [leave for leave in self._leaves.values() if leave.node == self._node]
        for leave in lost:
            key = (leave.endpoint, leave.born_unix_ms)
            if key not in self._unsaved and not _is_expired(leave):
                self._unsaved[key] = asyncio.Event()
                self._spawn(self._write(leave, self._unsaved[key]))

    async def run(self) -> None:
        """Delete expired leaves until cancelled, while this node is the one that does so."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._forget_expired()
            if self._is_sweeper():
                await self._sweep()

    def _is_saved(self, leave: Leave) -> bool:
        known = self._leaves.get(leave.endpoint)
        if known is None:
            return False
        # Only the node that a leave names honours it after a restart.
        return (known.node, known.born_unix_ms) == (leave.node, leave.born_unix_ms)

    def _start_write(self, leave: Leave, *, asks_peers: bool) -> asyncio.Event | None:
        """Return what is set once the leave is written, None if too many others are not."""
        if len(self._unsaved) >= MAX_UNSAVED:
            log_warning("too many leaves at once", endpoint=leave.endpoint)
            return None
        saved = self._unsaved[leave.endpoint, leave.born_unix_ms] = asyncio.Event()
        self._spawn(self._save(leave, saved) if asks_peers else self._write_once(leave, saved))
        return saved

    async def _save(self, leave: Leave, saved: asyncio.Event) -> None:
        await asyncio.gather(self._write(leave, saved), self._ask_peers(leave, saved))

    async def _write_once(self, leave: Leave, saved: asyncio.Event) -> None:
        try:
            await self._try_write(leave, saved)
        finally:
            del self._unsaved[leave.endpoint, leave.born_unix_ms]

    async def _ask_peers(self, leave: Leave, saved: asyncio.Event) -> None:
        """Ask peers to write a leave until it is written by one of them or by this node."""
        await asyncio.sleep(ASK_DELAY_S)
        pause_s = ASK_INTERVAL_S
        while not saved.is_set():
            if await self._ask(leave):
                saved.set()
                self._leaves[leave.endpoint] = leave
                log_info("a peer has saved a leave", endpoint=leave.endpoint)
                return
            await asyncio.sleep(pause_s)
            pause_s = min(RETRY_MAX_S, pause_s * 2)

    async def _write(self, leave: Leave, saved: asyncio.Event) -> None:
        pause_s = RETRY_MIN_S
        try:
            while not saved.is_set() and not await self._try_write(leave, saved):
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)
        finally:
            del self._unsaved[leave.endpoint, leave.born_unix_ms]

    async def _try_write(self, leave: Leave, saved: asyncio.Event) -> bool:
        try:
            await self._source.write_leave(leave)
        except SourceError as error:
            log_warning("saving a leave failed", endpoint=leave.endpoint, reason=error.reason)
            return False
        saved.set()
        self.saved_count += 1
        self._leaves[leave.endpoint] = leave
        log_info("saved a leave", endpoint=leave.endpoint, born=leave.born_unix_ms)
        return True

    def _forget_expired(self) -> None:
        self._leaves = {k: leave for k, leave in self._leaves.items() if not _is_expired(leave)}

    async def _sweep(self) -> None:
        try:
            leaves = await self._source.list_leaves(stale=True)
            expired = [leave for leave in leaves if _is_expired(leave)]
            for leave in expired:
                await self._source.delete_leave(leave.endpoint)
        except SourceError as error:
            log_warning("deleting expired leaves failed", reason=error.reason)
            return
        if expired:
            log_info("deleted expired leaves", count=len(expired))


def _is_expired(leave: Leave) -> bool:
    return time.time() - leave.at_unix_ms / 1000 > RETENTION_S
