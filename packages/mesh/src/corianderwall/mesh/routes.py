"""Matches requests to the routes of a snapshot by host and longest path prefix."""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderwall.model.resource import Route, Snapshot


@dataclass(frozen=True, slots=True)
class RouteTable:
    """The routes by host and path prefix.

    Prefixes begin and end with a slash and are compared with the path as it was sent, undecoded.
    """

    version: int
    hosts: Mapping[str, Mapping[str, Route]]

    @classmethod
    def compile(cls, snapshot: Snapshot) -> "RouteTable":
        """Return the table of `snapshot`."""
        hosts: dict[str, dict[str, Route]] = {}
        for route in snapshot.routes:
            hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        return cls(snapshot.version, hosts)

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a request for `target` (path and query) at `host`, or None."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None:
            name = host.partition(":")[0].lower()
            prefixes = self.hosts.get(name)
        if prefixes is None:
            return None
        prefix = target.partition("?")[0]
        end = prefix.rfind("/")
        while end >= 0:
            route = prefixes.get(prefix[: end + 1])
            if route is not None:
                return route
            end = prefix.rfind("/", 0, end)
        return None
