"""The roles that a node derives from the membership, and the work of each role."""

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from corianderwall.distribution.placement import WATCHERS_PER_REGION
from corianderwall.model.resource import MoveState
from corianderwall.moves.reporting import AGGREGATORS_PER_MOVE

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Host
    from corianderwall.model.resource import Snapshot
    from corianderwall.node.parts import NodeParts

ROLE_INTERVAL_S = 1.0
"""Time between two checks of the roles of this node."""


class RoleTask:
    """Starts and stops the watch of the platform and the control of moves, by this node's roles."""

    def __init__(self, parts: "NodeParts") -> None:
        self._parts = parts
        self._is_coordinating = False

    def tick(self) -> None:
        """Update the roles from the membership; the caller runs this every `ROLE_INTERVAL_S`."""
        parts = self._parts
        is_watcher = parts.distributor.is_watcher and parts.membership.has_joined
        parts.platform.set_watching(is_watcher)
        self._adjust_platform_rates(is_watcher=is_watcher)
        if is_watcher:
            parts.platform.refresh_seeds(parts.membership.list_live_hosts, self._join)
            parts.platform.sweep()
        self._retain_pools()
        snapshot = parts.distributor.current
        if snapshot is not None and not self._is_coordinating:
            self._is_coordinating = True
            Deferred.fromCoroutine(self._coordinate_moves(snapshot))

    def _adjust_platform_rates(self, *, is_watcher: bool) -> None:
        """Set this node's share of the platform's rate limit from the number of role holders.

        Every node derives the same number from the membership and the configuration.
        """
        parts = self._parts
        hosts = parts.membership.list_hosts()
        snapshot = parts.distributor.current
        moves = snapshot.moves if snapshot is not None else ()
        running = [move.id for move in moves if move.state is MoveState.RUNNING]
        regions = {host.locality.region for host in hosts}
        watchers = WATCHERS_PER_REGION * max(1, len(regions))
        parts.api.adjust_rates(
            nodes=len(hosts),
            holders=watchers + AGGREGATORS_PER_MOVE * len(running),
            is_holder=is_watcher or any(map(parts.agent.is_aggregator, running)),
        )

    async def _coordinate_moves(self, snapshot: "Snapshot") -> None:
        parts = self._parts
        try:
            if not parts.membership.may_be_isolated(parts.timer.read_monotonic()):
                await parts.move_coordinator.coordinate(snapshot)
        finally:
            self._is_coordinating = False

    def _join(self, host: "Host") -> None:
        now = self._parts.timer.read_monotonic()
        self._parts.control.send(self._parts.membership.join([host], now))

    def _retain_pools(self) -> None:
        membership = self._parts.membership
        addresses = {endpoint.address for endpoint in membership.list_endpoints()}
        addresses.update(host.call_address for host in membership.list_hosts())
        self._parts.pools.retain(addresses)
