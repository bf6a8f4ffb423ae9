"""Election of the leaders, which do the work that one node does for its zone or the fleet."""

import xxhash

from corianderwall.mesh.directory import Directory


def find_zone_leads(directory: Directory, source_ok: bool) -> dict[str, str]:
    """Return the leader of each zone: a live node that reaches the platform, by a hash of names.

    Every node computes this by itself. While two nodes disagree, work is done twice, which does
    no harm: versions of snapshots only grow, and writes are conditional.
    """
    own = directory.own
    candidates: dict[str, list[tuple[bool, int, str]]] = {}
    if not own.leaving:
        candidates[own.zone] = [_rank(own.name, source_ok)]
    for peer in directory.list_live():
        rank = _rank(peer.record.name, peer.source_ok)
        candidates.setdefault(peer.record.zone, []).append(rank)
    return {zone: min(ranks)[2] for zone, ranks in candidates.items()}


def list_leads(directory: Directory, source_ok: bool) -> list[str]:
    """Return the leaders of all zones in the order in which they write for the whole fleet."""
    leads = find_zone_leads(directory, source_ok)
    oks = {peer.record.name: peer.source_ok for peer in directory.peers.values()}
    oks[directory.own.name] = source_ok
    return sorted(leads.values(), key=lambda name: _rank(name, oks.get(name, False)))


def _rank(name: str, source_ok: bool) -> tuple[bool, int, str]:
    return (not source_ok, xxhash.xxh32_intdigest(name.encode()), name)
