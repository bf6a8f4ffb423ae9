"""Two regions apart for minutes and joined again, on a virtual clock."""

import argparse
from collections.abc import Mapping

from corianderwall.bench.configuration import change_route, make_snapshot
from corianderwall.bench.virtual_fleet import VirtualFleet

SETTLE_S = 9.0
LIMIT_S = 60.0
STEP_S = 0.02
CHANGE_INTERVAL_S = 10.0


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return what a partition of `--minutes` came to, once with a region cut off the platform."""
    parser = argparse.ArgumentParser(prog="partition")
    parser.add_argument("--nodes", type=int, default=100)
    parser.add_argument("--minutes", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    seconds = options.minutes * 60
    return {
        "mode": "virtual",
        "nodes": options.nodes,
        "seed": options.seed,
        "minutes": options.minutes,
        "platform_reached_by_both": _run(options.nodes, seconds, options.seed, both=True),
        "platform_reached_by_one": _run(options.nodes, seconds, options.seed, both=False),
    }


def _run(nodes: int, seconds: float, seed: int, *, both: bool) -> dict[str, object]:
    fleet = VirtualFleet(nodes, seed=seed, head=make_snapshot())
    fleet.start_all()
    fleet.run(SETTLE_S)
    near = [name for name, host in fleet.hosts.items() if host.locality.region == "region-0"]
    fleet.are_regions_apart = True
    if not both:
        fleet.cut_off_platform = {name for name in fleet.hosts if name not in near}
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.commit(change_route(fleet.head, fleet.rng), fleet.rng.choice(near))
        fleet.run(CHANGE_INTERVAL_S)
    lagging = sum(
        node.distributor.held_version < fleet.head.version for node in fleet.nodes.values()
    )
    fleet.are_regions_apart = False
    # One region stays cut off the platform: what it missed has to come from the other nodes.
    converged = fleet.run_until(fleet.is_converged, limit_s=LIMIT_S, step_s=STEP_S)
    live = fleet.run_until(lambda: _is_whole(fleet), limit_s=LIMIT_S, step_s=STEP_S)
    return {
        "lagging_at_the_end": lagging,
        "seconds_to_converge": round(converged, 2),
        "seconds_until_all_are_live": round(converged + live, 2),
        "is_converged": fleet.is_converged(),
        "versions_reverted": fleet.reverted,
        "false_dead": len(fleet.deaths),
    }


def _is_whole(fleet: VirtualFleet) -> bool:
    return all(
        len(node.membership.list_live_hosts()) == len(fleet.nodes) for node in fleet.nodes.values()
    )
