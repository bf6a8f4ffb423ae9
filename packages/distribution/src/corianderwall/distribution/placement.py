"""Where roles stand, worked out by each node alone from the hosts it knows.

Nodes with different views may place a role twice; all roles are harmless when held twice.
"""

from collections.abc import Iterable

from corianderwall.membership.overlay import rank_hosts
from corianderwall.model.endpoint import Host

WATCHERS_PER_REGION = 2


def choose_watchers(
    hosts: Iterable[Host], *, per_region: int = WATCHERS_PER_REGION
) -> tuple[Host, ...]:
    """Return the hosts that watch the platform: in each region some, in distinct zones first."""
    by_region: dict[str, list[Host]] = {}
    for host in hosts:
        by_region.setdefault(host.locality.region, []).append(host)
    return tuple(
        host
        for region in sorted(by_region)
        for host in choose_spread(by_region[region], per_region, salt="watcher")
    )


def choose_collectors(hosts: Iterable[Host], zone: str, *, count: int) -> tuple[Host, ...]:
    """Return the hosts that collect what the nodes of a zone have in force."""
    members = [host for host in hosts if host.locality.zone == zone]
    return tuple(rank_hosts(members, "collector")[:count])


def choose_spread(hosts: Iterable[Host], count: int, *, salt: str) -> tuple[Host, ...]:
    """Return the highest ranked hosts, no zone twice before each has given one."""
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
