"""How soon restarted nodes serve again, and what their return costs the platform."""

import argparse
import math
import sys
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from corianderwall.bench.configuration import change_route, make_snapshot
from corianderwall.bench.running import install_reactor, pause, run_session
from corianderwall.bench.virtual_fleet import PLATFORM_READS_PER_S, VirtualFleet

if TYPE_CHECKING:
    from corianderwall.bench.node_fleet import FleetNode, NodeFleet

SETTLE_S = 9.0
STARTED = "started"
"""The log line of a node whose sockets are open."""

CHANGES_BEFORE = 3
LIMIT_S = 60.0
LOSS_LIMIT_S = 180.0
STEP_S = 0.05
SHARES = (0.0, 0.5, 1.0)
"""Parts of the fleet that restart; 0 stands for one node."""


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return a point for one node, half and all of them, with the platform up and down."""
    parser = argparse.ArgumentParser(prog="recovery")
    parser.add_argument("--mode", choices=["virtual", "processes"], default="virtual")
    parser.add_argument("--nodes", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    if options.mode == "virtual":
        points = [_run_virtual(options.nodes, share, options.seed) for share in SHARES]
        points.append(_run_virtual(options.nodes, 0.5, options.seed, is_platform_up=False))
        points += [_lose(options.nodes, lost, options.seed) for lost in ("host", "zone", "half")]
    else:
        install_reactor()
        points = run_session(lambda: _run_processes(options.nodes))
    baseline = {
        "mode": "model",
        "seconds_to_all_serving": round(options.nodes / PLATFORM_READS_PER_S, 3),
        "platform_calls_peak_per_s": min(options.nodes, PLATFORM_READS_PER_S),
    }
    report = {"mode": options.mode, "seed": options.seed, "points": points, "baseline": baseline}
    return report


def count_restarted(nodes: int, share: float) -> int:
    """Return how many nodes restart."""
    return max(1, math.floor(nodes * share))


def find_peak(instants: Iterable[float]) -> int:
    """Return the most events within one second, counted in whole seconds."""
    return max(Counter(math.floor(instant) for instant in instants).values(), default=0)


def _run_virtual(
    nodes: int, share: float, seed: int, *, is_platform_up: bool = True
) -> dict[str, object]:
    fleet = VirtualFleet(nodes, seed=seed, head=make_snapshot())
    fleet.start_all()
    fleet.run(SETTLE_S)
    for _ in range(CHANGES_BEFORE):
        fleet.commit(change_route(fleet.head, fleet.rng), fleet.rng.choice(sorted(fleet.nodes)))
        fleet.run(1.0)
    fleet.is_platform_up = is_platform_up
    fleet.read_times.clear()
    restarted = fleet.rng.sample(sorted(fleet.nodes), count_restarted(nodes, share))
    for name in restarted:
        fleet.stop(name)
    for name in restarted:
        fleet.start(name)
    seconds = fleet.run_until(fleet.is_converged, limit_s=LIMIT_S, step_s=STEP_S)
    return {
        "restarted": len(restarted),
        "platform": "up" if is_platform_up else "down",
        "seconds_to_all_serving": round(seconds, 2),
        "is_converged": fleet.is_converged(),
        "platform_calls_peak_per_s": find_peak(fleet.read_times),
        "versions_reverted": fleet.reverted,
    }


def _lose(nodes: int, lost: str, seed: int) -> dict[str, object]:
    """Let hosts fail for good; return when all others hold exactly these to be dead."""
    fleet = VirtualFleet(nodes, seed=seed, head=make_snapshot())
    fleet.start_all()
    fleet.run(SETTLE_S)
    zone = [name for name, host in fleet.hosts.items() if host.locality.zone == "zone-0"]
    half = fleet.rng.sample(sorted(fleet.nodes), nodes // 2)
    names = {"host": zone[:1], "zone": zone, "half": half}[lost]
    for name in names:
        fleet.stop(name)
    seconds = fleet.run_until(
        lambda: all(
            len(node.membership.list_hosts()) == len(fleet.nodes) for node in fleet.nodes.values()
        ),
        limit_s=LOSS_LIMIT_S,
        step_s=STEP_S,
    )
    return {
        "lost": lost,
        "hosts": len(names),
        "seconds_until_all_know": round(seconds, 2),
        "false_dead": sum(subject not in names for _, subject in fleet.deaths),
    }


async def _run_processes(nodes: int) -> list[dict[str, object]]:
    # Imports the reactor, which must be installed before.
    from corianderwall.bench.node_fleet import NodeFleet

    print(f"starting {nodes} node processes", file=sys.stderr)
    fleet = NodeFleet(nodes)
    try:
        await fleet.start()
        first = await fleet.configure()
        if not await fleet.wait_for_version(first, limit_s=LIMIT_S):
            raise RuntimeError("the fleet did not become ready")
        points = []
        for share in SHARES:
            await pause(SETTLE_S)
            points.append(await _restart(fleet, fleet.nodes[: count_restarted(nodes, share)]))
    finally:
        await fleet.stop()
    return points


async def _restart(fleet: "NodeFleet", restarted: "list[FleetNode]") -> dict[str, object]:
    highest = {node.name: fleet.read_versions(node)[-1][1] for node in fleet.nodes}
    since = time.time()
    for node in restarted:
        node.process.kill()
    for node in restarted:
        node.start_again()
    peak = 0
    calls = _count_calls(fleet)
    deadline = time.time() + LIMIT_S
    while time.time() < deadline and not _are_serving(fleet, restarted, since):
        await pause(1.0)
        peak, calls = max(peak, _count_calls(fleet) - calls), _count_calls(fleet)
    serving = [seen[0] for seen in _list_returns(fleet, restarted, since)]
    started = [_find_start(fleet, node, since) for node in restarted]
    reverted = [
        node.name
        for node, seen in zip(restarted, _list_returns(fleet, restarted, since), strict=True)
        if seen[1] < highest[node.name]
    ]
    return {
        "restarted": len(restarted),
        "platform": "up",
        "seconds_to_all_serving": round(max(serving) - since, 2),
        "slowest_process_start_s": round(max(started) - since, 2),
        "slowest_after_its_start_s": round(max(_subtract(serving, started)), 2),
        "platform_calls_peak_per_s": peak,
        "versions_reverted": len(reverted),
    }


def _find_start(fleet: "NodeFleet", node: "FleetNode", since: float) -> float:
    """Return when the process opened its sockets."""
    entries = fleet.read_log(node, STARTED, since=since)
    return float(entries[0]["time"]) if entries else math.inf


def _subtract(later: Iterable[float], earlier: Iterable[float]) -> list[float]:
    return [end - start for end, start in zip(later, earlier, strict=True)]


def _are_serving(fleet: "NodeFleet", restarted: "list[FleetNode]", since: float) -> bool:
    return all(fleet.read_versions(node, since=since) for node in restarted)


def _list_returns(
    fleet: "NodeFleet", restarted: "list[FleetNode]", since: float
) -> list[tuple[float, int]]:
    """Return when each node had its first version in force again, and which."""
    never = (math.inf, -1)
    found = [fleet.read_versions(node, since=since) for node in restarted]
    return [seen[0] if seen else never for seen in found]


def _count_calls(fleet: "NodeFleet") -> int:
    counters = fleet.platform.counters
    return counters.reads + counters.watches + counters.writes + counters.lists
