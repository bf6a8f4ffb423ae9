"""Asks leaders whether the active configuration is the newest, when a call depends on it."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, succeed

from corianderwall.mesh.configuration import ConfigurationHolder
from corianderwall.mesh.directory import Directory, Peer
from corianderwall.mesh.leaders import find_zone_leaders
from corianderwall.mesh.tasks import Spawn
from corianderwall.node.logs import log_info

ROUND_TIMEOUT_S = 0.2
"""Longest wait for the leaders; many times a usual response, and little of a caller's timeout."""
ROUND_INTERVAL_S = 0.5
"""Pause after a round without success, so that unknown keys cost each host few messages."""


class ConfigurationConfirmation:
    """Sends heartbeats to two leaders: the one of this zone and one of another zone.

    Leaders watch the store, and their heartbeats carry the age of their last confirmation. Random
    heartbeats alone bring a confirmation to all nodes of a large fleet in several seconds, which is
    longer than it is valid.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        directory: Directory,
        read_source_ok: Callable[[], bool],
        send_heartbeat: Callable[[Peer], Coroutine[Any, Any, None]],
        spawn: Spawn,
        random: Random,
    ) -> None:
        self._holder = holder
        self._directory = directory
        self._read_source_ok = read_source_ok
        self._send_heartbeat = send_heartbeat
        self._spawn = spawn
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._waiters: list[Deferred[None]] = []
        self._running = False
        self._next_at = 0.0

    def request(self) -> Deferred[None]:
        """Return a result that arrives once the version is confirmed, or cannot be for now."""
        if not self._running:
            if self._loop.time() < self._next_at:
                return succeed(None)
            self._running = True
            self._spawn(self._run_round())
        waiter: Deferred[None] = Deferred()
        self._waiters.append(waiter)
        return waiter

    def choose_leaders(self) -> list[Peer]:
        """Return the leader of this zone and one of another zone, without this node itself."""
        own = self._directory.own
        leaders = find_zone_leaders(self._directory, self._read_source_ok())
        peers = self._directory.peers
        near = [name for zone, name in leaders.items() if zone == own.zone and name in peers]
        far = [name for zone, name in leaders.items() if zone != own.zone and name in peers]
        if far:
            near.append(self._random.choice(far))
        return [peers[name] for name in near]

    async def _run_round(self) -> None:
        started = self._loop.time()
        freshness = self._holder.freshness
        leaders = self.choose_leaders()
        pending = {self._spawn(self._send_heartbeat(peer)) for peer in leaders}
        try:
            while pending and not freshness.is_fresh(self._loop.time()):
                left_s = started + ROUND_TIMEOUT_S - self._loop.time()
                if left_s <= 0:
                    break
                _, pending = await asyncio.wait(
                    pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            self._running = False
            if not freshness.is_fresh(self._loop.time()):
                self._next_at = self._loop.time() + ROUND_INTERVAL_S
                log_info(
                    "no leader has confirmed the configuration",
                    leaders=[peer.record.name for peer in leaders],
                    config_version=self._holder.snapshot.version,
                    age_ms=freshness.compute_age_ms(self._loop.time()),
                )
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                waiter.callback(None)
