"""The connection pools of a node, one per address that it sends calls to."""

from typing import TYPE_CHECKING

from corianderwall.httpflow.pool import UpstreamPool

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Address


class UpstreamPools:
    """Creates pools on demand and closes those of hosts and endpoints that are gone."""

    def __init__(self) -> None:
        self._pools: dict[Address, UpstreamPool] = {}

    def find(self, address: "Address", max_connections: int) -> UpstreamPool:
        """Return the pool of `address` with this limit; create it if there is none."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = UpstreamPool(address, max_connections)
        elif pool.max_connections != max_connections:
            pool.max_connections = max_connections
        return pool

    def limit(self, address: "Address", max_connections: int) -> None:
        """Set the connection limit of the pool of `address`, if there is one."""
        pool = self._pools.get(address)
        if pool is not None and pool.max_connections != max_connections:
            pool.max_connections = max_connections

    def retain(self, addresses: "set[Address]") -> None:
        """Close the pools of all other addresses once their running calls have ended."""
        for address in [address for address in self._pools if address not in addresses]:
            self._pools.pop(address).close()

    def close(self) -> None:
        """Close all pools once their running calls have ended."""
        self.retain(set())
