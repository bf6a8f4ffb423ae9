"""How soon a change is in force everywhere, at what cost, against every node watching."""

import argparse
import functools
import random
import sys
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from corianderwall.bench.configuration import change_route, make_snapshot
from corianderwall.bench.running import install_reactor, pause, run_session
from corianderwall.bench.staging_trial import STAGING_MESSAGES, make_staging_distributor
from corianderwall.bench.virtual_fleet import (
    APPLY_S,
    OVERHEAD_BYTES,
    PLATFORM_DELAY_S,
    PLATFORM_READS_PER_S,
    WRITE_S,
    VirtualFleet,
    make_distributor,
)
from corianderwall.model.codec import encode_snapshot

if TYPE_CHECKING:
    from corianderwall.bench.node_fleet import NodeFleet

SETTLE_S = 9.0
PROCESS_SETTLE_S = 8.0
STAGED_APPLY_S = 0.0001
"""Time to swap to a staged snapshot; passing candidates on is charged nothing."""


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return the points of all fleet sizes with the baseline beside each."""
    parser = argparse.ArgumentParser(prog="convergence")
    parser.add_argument("--mode", choices=["virtual", "processes"], default="virtual")
    parser.add_argument("--nodes", type=int, nargs="+", default=[10, 50, 100, 200])
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--interval", type=float, default=0.5, help="seconds between changes")
    parser.add_argument("--churn", type=float, default=0.0, help="endpoint events a second")
    parser.add_argument("--staging", action="store_true", help="with optimistic staging")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    if options.mode == "virtual":
        points = [_run_virtual(nodes, options) for nodes in options.nodes]
    else:
        install_reactor()
        points = run_session(lambda: _run_processes(options))
    return {"mode": options.mode, "seed": options.seed, "points": points}


def summarise(latencies: list[float]) -> dict[str, float]:
    """Return the percentiles of latencies in seconds."""
    ordered = sorted(latencies)
    return {
        "p50_s": round(ordered[len(ordered) // 2], 4),
        "p99_s": round(ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)], 4),
        "max_s": round(ordered[-1], 4),
    }


def _run_virtual(count: int, options: argparse.Namespace) -> dict[str, object]:
    make = make_staging_distributor if options.staging else make_distributor
    extra = STAGING_MESSAGES if options.staging else ()
    fleet = VirtualFleet(
        count,
        seed=options.seed,
        head=make_snapshot(),
        extra_messages=extra,
        make=make,
        apply_s=STAGED_APPLY_S if options.staging else APPLY_S,
    )
    fleet.start_all()
    fleet.run(SETTLE_S)
    idle_bytes_per_s = _measure_idle(fleet)
    if options.churn:
        _churn(fleet, 1 / options.churn)
    started, accepted_at = fleet.now, {}
    before, reads = fleet.traffic.wire_bytes, fleet.traffic.platform_reads
    for _ in range(options.changes):
        version, instant = _make_change(fleet, staging=options.staging)
        accepted_at[version] = instant
        fleet.run(options.interval)
    fleet.run(2.0)
    idle_bytes = idle_bytes_per_s * (fleet.now - started)
    spent = fleet.traffic.wire_bytes - before - idle_bytes
    latencies, missed = _collect(fleet, accepted_at)
    return {
        "nodes": count,
        "changes": options.changes,
        "endpoint_events_per_s": options.churn,
        "staging": options.staging,
        **summarise(latencies),
        "skipped_for_a_newer": missed,
        "is_converged": fleet.is_converged(),
        "bytes_per_node_per_change": round(spent / count / options.changes),
        "platform_reads": fleet.traffic.platform_reads - reads,
        "platform_writes": fleet.traffic.platform_writes,
        "baseline": _model_baseline(count, fleet, options.changes),
    }


def _churn(fleet: VirtualFleet, interval_s: float) -> None:
    """Change an endpoint now and after each interval."""
    fleet.announce(fleet.rng.choice(sorted(fleet.nodes)))
    fleet.call_after(interval_s, functools.partial(_churn, fleet, interval_s))


def _measure_idle(fleet: VirtualFleet) -> float:
    """Return the bytes that the whole fleet sends in a second at rest."""
    before, start = fleet.traffic.wire_bytes, fleet.now
    fleet.run(5.0)
    return (fleet.traffic.wire_bytes - before) / (fleet.now - start)


def _make_change(fleet: VirtualFleet, *, staging: bool) -> tuple[int, float]:
    """Accept a change at a random node; return its version and the instant it was asked for."""
    accepting = fleet.rng.choice(sorted(fleet.nodes))
    candidate = change_route(fleet.head, fleet.rng)
    instant = fleet.now
    distributor: Any = fleet.nodes[accepting].distributor
    if staging:
        fleet.send(accepting, distributor.stage(candidate))
    fleet.run(WRITE_S)
    fleet.commit(candidate, accepting)
    return candidate.version, instant


def _collect(fleet: VirtualFleet, accepted_at: Mapping[int, float]) -> tuple[list[float], int]:
    """Return, per change and node, how soon it or a newer one was in force, and the skips."""
    latencies = []
    skipped = 0
    for version, instant in accepted_at.items():
        seen = fleet.in_force_at.get(version, {})
        skipped += len(fleet.nodes) - len(seen)
        for name in fleet.nodes:
            instants = [
                known[name]
                for newer, known in fleet.in_force_at.items()
                if newer >= version and name in known
            ]
            latencies.append(min(instants) - instant)
    return latencies, skipped


def _model_baseline(count: int, fleet: VirtualFleet, changes: int) -> dict[str, object]:
    """Return the cost if every node watched the platform, which serves reads one by one."""
    size = len(encode_snapshot(fleet.head)) + OVERHEAD_BYTES
    latencies = [
        WRITE_S + PLATFORM_DELAY_S + index / PLATFORM_READS_PER_S for index in range(count)
    ]
    return {
        "mode": "model",
        **summarise(latencies),
        "bytes_per_node_per_change": size,
        "platform_reads": count * changes,
        "platform_writes": changes,
    }


async def _run_processes(options: argparse.Namespace) -> list[dict[str, object]]:
    points = []
    for count in options.nodes:
        print(f"starting {count} node processes", file=sys.stderr)
        points.append(await _run_fleet(count, options))
    return points


async def _run_fleet(count: int, options: argparse.Namespace) -> dict[str, object]:
    # Imports the reactor, which must be installed before.
    from corianderwall.bench.node_fleet import NodeFleet

    fleet = NodeFleet(count)
    rng = random.Random(options.seed)
    try:
        await fleet.start()
        first = await fleet.configure()
        if not await fleet.wait_for_version(first, limit_s=60.0):
            raise RuntimeError("the fleet did not become ready")
        await pause(PROCESS_SETTLE_S)
        counters = fleet.platform.counters
        reads, writes = counters.reads + counters.watches, counters.writes
        asked_at, accepted_at = {}, {}
        for _ in range(options.changes):
            instant = time.time()
            version = await fleet.put_route(rng.randint(1000, 60_000))
            asked_at[version], accepted_at[version] = instant, time.time()
            await pause(max(0.0, instant + options.interval - time.time()))
        is_converged = await fleet.wait_for_version(max(asked_at), limit_s=30.0)
        result = {
            "nodes": count,
            "changes": options.changes,
            **summarise(_collect_logged(fleet, accepted_at)),
            "from_request": summarise(_collect_logged(fleet, asked_at)),
            "accepting": summarise(
                [accepted_at[version] - asked_at[version] for version in asked_at]
            ),
            "is_converged": is_converged,
            "platform_reads": counters.reads + counters.watches - reads,
            "platform_writes": counters.writes - writes,
        }
    finally:
        await fleet.stop()
    return result


def _collect_logged(fleet: "NodeFleet", since: Mapping[int, float]) -> list[float]:
    """Return how long after `since` each version was in force at each node, 0 if before."""
    latencies = []
    for node in fleet.nodes:
        seen = fleet.read_versions(node)
        for version, instant in since.items():
            instants = [moment for moment, known in seen if known >= version]
            if instants:
                latencies.append(max(0.0, min(instants) - instant))
    return latencies
