"""What control costs a node at rest, with slopes by the number of nodes."""

import argparse
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from corianderwall.bench.configuration import make_snapshot
from corianderwall.bench.running import install_reactor, pause, run_session
from corianderwall.bench.virtual_fleet import OVERHEAD_BYTES, VirtualFleet

if TYPE_CHECKING:
    from corianderwall.bench.node_fleet import FleetNode, NodeFleet

SETTLE_S = 10.0
EVENTS = 4
EVENT_INTERVAL_S = 2.0
MIB = 1024 * 1024
BOUNDS = {"cpu_percent": 1.1, "rss_mb": 256.0, "bytes_per_s": 9000.0}


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return the cost at each fleet size, and the slopes from the smallest to the largest."""
    parser = argparse.ArgumentParser(prog="control-cost")
    parser.add_argument("--mode", choices=["virtual", "processes"], default="virtual")
    parser.add_argument("--nodes", type=int, nargs="+", default=[20, 60, 200])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    points: Sequence[Mapping[str, object]]
    if options.mode == "virtual":
        points = [_run_virtual(nodes, options) for nodes in options.nodes]
    else:
        install_reactor()
        points = run_session(lambda: _run_processes(options))
    return {
        "mode": options.mode,
        "seed": options.seed,
        "points": points,
        "slopes_per_node": _find_slopes(points),
        "bounds": BOUNDS,
    }


def _find_slopes(points: Sequence[Mapping[str, Any]]) -> dict[str, float]:
    first, last = points[0], points[-1]
    width = last["nodes"] - first["nodes"]
    if width == 0:
        return {}
    return {name: round((last[name] - first[name]) / width, 5) for name in BOUNDS if name in first}


def _run_virtual(nodes: int, options: argparse.Namespace) -> dict[str, float]:
    """Measure the cores alone: processor time of this process, encoded bytes with overhead."""
    fleet = VirtualFleet(nodes, seed=options.seed, head=make_snapshot())
    fleet.start_all()
    fleet.run(SETTLE_S)
    before, busy = fleet.traffic.wire_bytes, time.process_time()
    messages = fleet.traffic.messages
    fleet.run(options.seconds)
    share = nodes * options.seconds
    point: dict[str, float] = {
        "nodes": nodes,
        "cpu_percent": round((time.process_time() - busy) / share * 100, 3),
        "bytes_per_s": round(2 * (fleet.traffic.wire_bytes - before) / share),
        "messages_per_s": round(2 * (fleet.traffic.messages - messages) / share, 1),
    }
    point["bytes_per_endpoint_event"] = _measure_events(fleet, point["bytes_per_s"], fleet.announce)
    point["bytes_per_restart"] = _measure_events(
        fleet, point["bytes_per_s"], lambda name: _restart(fleet, name)
    )
    return point


def _restart(fleet: VirtualFleet, name: str) -> None:
    fleet.stop(name)
    fleet.start(name)


def _measure_events(
    fleet: VirtualFleet, rest_bytes_per_s: float, cause: Callable[[str], None]
) -> int:
    """Return the bytes, sent plus received, that an event costs each node beyond rest."""
    before, start = fleet.traffic.wire_bytes, fleet.now
    for name in fleet.rng.sample(sorted(fleet.nodes), EVENTS):
        cause(name)
        fleet.run(EVENT_INTERVAL_S)
    spent = 2 * (fleet.traffic.wire_bytes - before) / len(fleet.nodes)
    return round((spent - rest_bytes_per_s * (fleet.now - start)) / EVENTS)


async def _run_processes(options: argparse.Namespace) -> list[dict[str, object]]:
    points = []
    for nodes in options.nodes:
        print(f"starting {nodes} node processes", file=sys.stderr)
        points.append(await _run_fleet(nodes, options.seconds))
    return points


async def _run_fleet(nodes: int, seconds: float) -> dict[str, object]:
    # Imports the reactor, which must be installed before.
    from corianderwall.bench.node_fleet import NodeFleet

    fleet = NodeFleet(nodes)
    try:
        await fleet.start()
        version = await fleet.configure()
        if not await fleet.wait_for_version(version, limit_s=60.0):
            raise RuntimeError("the fleet did not become ready")
        await pause(SETTLE_S)
        sample = fleet.nodes[:: max(1, nodes // 10)]
        began = time.monotonic()
        before = [await _read_costs(fleet, node) for node in sample]
        await pause(seconds)
        after = [await _read_costs(fleet, node) for node in sample]
        passed = time.monotonic() - began
    finally:
        await fleet.stop()
    spent = [
        [late - early for early, late in zip(first, second, strict=True)]
        for first, second in zip(before, after, strict=True)
    ]
    mean = [sum(each[index] for each in spent) / len(spent) / passed for index in range(3)]
    resident = max(each[3] for each in after) / MIB
    return {
        "nodes": nodes,
        "cpu_percent": round(mean[0] * 100, 2),
        "rss_mb": round(resident, 1),
        "bytes_per_s": round(mean[1] + mean[2] * OVERHEAD_BYTES),
        "frame_bytes_per_s": round(mean[1]),
        "messages_per_s": round(mean[2], 1),
    }


async def _read_costs(fleet: "NodeFleet", node: "FleetNode") -> tuple[float, float, float, float]:
    """Return processor seconds, frame bytes, messages and resident bytes so far."""
    usage = node.process.read_usage()
    frames = await fleet.read_metric(node, "corianderwall_link_bytes_total")
    messages = await fleet.read_metric(node, "corianderwall_link_messages_total")
    crossed = sum(
        value for labels, value in messages.items() if "sent" in labels or "received" in labels
    )
    return usage.cpu_s, sum(frames.values()), crossed, float(usage.resident_bytes)
