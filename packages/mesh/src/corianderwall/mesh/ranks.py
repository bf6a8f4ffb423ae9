"""Which nodes do the work that one node of a zone or of the fleet does for all."""

import xxhash

from corianderwall.mesh.directory import Directory


def find_zone_leads(directory: Directory, source_ok: bool) -> dict[str, str]:
    """Return the lead of each zone: a live node that reaches the platform, by a hash of names.

    Every node works this out alone. Where two differ for a moment, work is done twice, which
    harms nothing: snapshots only grow, and writes are conditional.
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
    """Return the leads of all zones in the order in which they decide for the whole fleet."""
    leads = find_zone_leads(directory, source_ok)
    oks = {peer.record.name: peer.source_ok for peer in directory.peers.values()}
    oks[directory.own.name] = source_ok
    return sorted(leads.values(), key=lambda name: _rank(name, oks.get(name, False)))


def _rank(name: str, source_ok: bool) -> tuple[bool, int, str]:
    return (not source_ok, xxhash.xxh32_intdigest(name.encode()), name)
