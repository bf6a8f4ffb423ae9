"""Assignment of roles to hosts, which each node computes on its own from the hosts it knows.

Nodes with different views may assign a role to more hosts than needed, which is harmless for all
roles.
"""

from collections.abc import Iterable

from corianderwall.membership.overlay import rank_hosts
from corianderwall.model.endpoint import Host

WATCHERS_PER_REGION = 2


def choose_watchers(
    hosts: Iterable[Host], *, per_region: int = WATCHERS_PER_REGION
) -> tuple[Host, ...]:
    """Return the hosts of each region that watch the platform, preferably in distinct zones."""
    by_region: dict[str, list[Host]] = {}
    for host in hosts:
        by_region.setdefault(host.locality.region, []).append(host)
    return tuple(
        host
        for region in sorted(by_region)
        for host in choose_across_zones(by_region[region], per_region, salt="watcher")
    )


def choose_collectors(hosts: Iterable[Host], zone: str, *, count: int) -> tuple[Host, ...]:
    """Return the hosts that collect the active versions of the nodes of a zone."""
    members = [host for host in hosts if host.locality.zone == zone]
    return tuple(rank_hosts(members, "collector")[:count])


def choose_across_zones(hosts: Iterable[Host], count: int, *, salt: str) -> tuple[Host, ...]:
    """Return the highest ranked hosts, with one from each zone before a second from any."""
    ranked = rank_hosts(hosts, salt)
    chosen: list[Host] = []
    while ranked and len(chosen) < count:
        zones: set[str] = set()
        rest: list[Host] = []
        for host in ranked:
            if host.locality.zone in zones or len(chosen) >= count:
                rest.append(host)
            else:
                zones.add(host.locality.zone)
                chosen.append(host)
        ranked = rest
    return tuple(chosen)
