"""The overlay network, which every node computes on its own from the hosts it knows.

Hosts are placed on rings, each ordered by a salted hash: one ring per zone, one per region and
two over all hosts. A host's neighbours are those before and after it on its four rings, at most
eight. Each region and each zone stays connected when it is cut off from the others.
"""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from corianderwall.model.endpoint import Host

GLOBAL_RINGS = 2


@lru_cache(maxsize=65_536)
def _hash_name(salt: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}/{name}".encode())


def rank_hosts(hosts: Iterable[Host], salt: str) -> list[Host]:
    """Return the hosts by their rendezvous hash for `salt`, the highest first."""
    return sorted(hosts, key=lambda host: (_hash_name(salt, host.name), host.name), reverse=True)


class Overlay:
    """The rings of a set of hosts, and the neighbours of each host on them."""

    def __init__(self, hosts: Iterable[Host]) -> None:
        self._hosts = {host.name: host for host in hosts}
        self._rings: dict[str, list[str]] = {}
        self._positions: dict[str, dict[str, int]] = {}
        for host in self._hosts.values():
            for ring in _list_rings(host):
                self._rings.setdefault(ring, []).append(host.name)
        for ring, names in self._rings.items():
            names.sort(key=lambda name: (_hash_name(ring, name), name))
            self._positions[ring] = {name: index for index, name in enumerate(names)}

    def find_neighbours(self, name: str) -> tuple[str, ...]:
        """Return the names next to `name` on its rings, without duplicates."""
        host = self._hosts.get(name)
        if host is None:
            return ()
        found: dict[str, None] = {}
        for ring in _list_rings(host):
            names = self._rings[ring]
            position = self._positions[ring][name]
            found[names[position - 1]] = None
            found[names[(position + 1) % len(names)]] = None
        found.pop(name, None)
        return tuple(found)


def _list_rings(host: Host) -> list[str]:
    region, zone = host.locality.region, host.locality.zone
    rings = [f"zone/{region}/{zone}", f"region/{region}"]
    rings.extend(f"global/{index}" for index in range(GLOBAL_RINGS))
    return rings
