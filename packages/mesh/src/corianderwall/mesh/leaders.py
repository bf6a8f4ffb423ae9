"""Election of the leaders, which do the work that one node does for its zone or the fleet."""

import xxhash

from corianderwall.mesh.directory import Directory

ZONE_STANDBYS = 2
"""Nodes of a zone that may replace its leader; the first one may be cut off with it."""


def find_zone_leaders(directory: Directory, source_ok: bool) -> dict[str, str]:
    """Return the leader of each zone: a live node that reaches the platform, by a hash of names.

    Every node computes this by itself. While two nodes disagree, work is done twice, which does
    no harm: versions of snapshots only grow, and writes are conditional.
    """
    own = directory.own
    candidates: dict[str, list[tuple[bool, int, str]]] = {}
    if not own.leaving:
        candidates[own.zone] = [_make_sort_key(own.name, source_ok)]
    for peer in directory.list_live():
        key = _make_sort_key(peer.record.name, peer.source_ok)
        candidates.setdefault(peer.record.zone, []).append(key)
    return {zone: min(keys)[2] for zone, keys in candidates.items()}


def list_zone_followers(directory: Directory, source_ok: bool) -> list[str]:
    """Return the leader of this node's zone and its standbys, which replace it in their order."""
    own = directory.own
    keys = [
        _make_sort_key(peer.record.name, peer.source_ok)
        for peer in directory.list_live()
        if peer.record.zone == own.zone
    ]
    if not own.leaving:
        keys.append(_make_sort_key(own.name, source_ok))
    return [name for _, _, name in sorted(keys)[: 1 + ZONE_STANDBYS]]


def list_leaders(directory: Directory, source_ok: bool) -> list[str]:
    """Return the leaders of all zones in the order in which they write for the whole fleet."""
    leaders = find_zone_leaders(directory, source_ok)
    reaches_source = {peer.record.name: peer.source_ok for peer in directory.peers.values()}
    reaches_source[directory.own.name] = source_ok
    return sorted(
        leaders.values(), key=lambda name: _make_sort_key(name, reaches_source.get(name, False))
    )


def list_standbys(directory: Directory, source_ok: bool, count: int) -> list[str]:
    """Return the leaders of all zones in their order, and further nodes if these are too few."""
    leaders = list_leaders(directory, source_ok)
    if len(leaders) >= count:
        return leaders
    others = [_make_sort_key(p.record.name, p.source_ok) for p in directory.list_live()]
    if not directory.own.leaving:
        others.append(_make_sort_key(directory.own.name, source_ok))
    names = [key[2] for key in sorted(others) if key[2] not in leaders]
    return leaders + names[: count - len(leaders)]


def list_readers(directory: Directory, count: int) -> list[str]:
    """Return the nodes that read for others what all need at their start, live or not."""
    names = [directory.own.name, *directory.peers]
    return sorted(names, key=lambda name: _make_sort_key(name, True))[:count]


def _make_sort_key(name: str, source_ok: bool) -> tuple[bool, int, str]:
    return (not source_ok, xxhash.xxh32_intdigest(name.encode()), name)
