"""The latency that the mesh adds to a call: the same calls direct and through it, in turn."""

import json
import random
import signal
from collections.abc import Mapping
from dataclasses import dataclass, field

import click

from corianderwall.bench.load import CallShape, LoadReport, OpenLoad, plan_instants
from corianderwall.bench.processes import ChildProcess
from corianderwall.bench.running import pause, run_session
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.endpoint import Address

RATE = 254.0
"""Calls a second of one endpoint at the size of letter 1: 150,000 over 590."""

CONNECTIONS = 32
WARM_CONNECTIONS = 8
WARM_CALLS_S = 1.0


@dataclass(slots=True)
class Side:
    """One of the two ways to the upstream, and what its calls took."""

    name: str
    address: Address
    shape: CallShape
    report: LoadReport = field(default_factory=LoadReport)
    pool: UpstreamPool | None = None


@dataclass(frozen=True, slots=True)
class Saturation:
    """What several load generators together got through the mesh."""

    calls_per_s: float
    cpu_us_per_call: float
    p50_ms: float
    p99_ms: float
    failed: int


async def measure_turns(sides: list[Side], *, turns: int, seconds: float, seed: int) -> None:
    """Send the same Poisson arrivals to each side in turn."""
    for side in sides:
        side.pool = UpstreamPool(side.address, CONNECTIONS)
        side.pool.warm(WARM_CONNECTIONS)
    await pause(0.3)
    rng = random.Random(seed)
    for side in sides:
        await run_turn(side, plan_instants(RATE, WARM_CALLS_S, rng), keep=False)
    for _ in range(turns):
        instants = plan_instants(RATE, seconds, rng)
        for side in sides:
            await run_turn(side, instants, keep=True)
    for side in sides:
        if side.pool is not None:
            side.pool.abort()


async def run_turn(side: Side, instants: list[float], *, keep: bool) -> None:
    """Send one turn of calls to one side."""
    if side.pool is None:
        raise RuntimeError("the pool of the side is not open")
    report = await OpenLoad(side.pool, side.shape, instants).run()
    if keep:
        side.report.add(report)


def measure_saturation(
    mesh: Address, process: ChildProcess, *, generators: int, seconds: float
) -> Saturation:
    """Load the mesh with closed loops from several processes."""
    before = process.read_usage()
    arguments = ("--port", str(mesh.port), "--concurrency", "16", "--seconds", str(seconds))
    loads = [ChildProcess("corianderwall.bench.load", *arguments) for _ in range(generators)]
    try:
        results = [json.loads(load.read_line()) for load in loads]
    finally:
        for load in loads:
            load.kill()
    after = process.read_usage()
    calls = sum(result["calls"] for result in results)
    succeeded = sum(result["outcomes"].get("200", 0) for result in results)
    return Saturation(
        calls_per_s=sum(result["calls"] / result["seconds"] for result in results),
        cpu_us_per_call=(after.cpu_s - before.cpu_s) * 1e6 / max(1, calls),
        p50_ms=max(result["p50_ms"] for result in results),
        p99_ms=max(result["p99_ms"] for result in results),
        failed=calls - succeeded,
    )


@click.command()
@click.option("--turns", default=10, help="Turns of each side.")
@click.option("--seconds", default=2.0, help="Length of one turn.")
@click.option("--saturation-seconds", default=5.0)
@click.option("--generators", default=3, help="Load generators at saturation.")
@click.option("--seed", default=7)
@click.option("--profile", default="", help="File for a profile of the mesh process.")
def command(**options: object) -> dict[str, object]:
    """Measure the latency that one hop adds."""
    return options


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return the percentiles of both sides, what was added, and the limits at saturation."""
    options = command(arguments, standalone_mode=False)
    upstream = ChildProcess("corianderwall.standins", "upstream", "--slots", "64")
    children = [upstream]
    try:
        direct = upstream.read_address()
        more = ("--profile", options["profile"]) if options["profile"] else ()
        mesh = ChildProcess(
            "corianderwall.bench.forwarder", "--upstream-port", str(direct.port), *more
        )
        children.append(mesh)
        return _measure(direct, mesh.read_address(), mesh, options)
    finally:
        for child in children:
            child.kill()


def _measure(
    direct: Address, through: Address, mesh: ChildProcess, options: dict[str, object]
) -> Mapping[str, object]:
    sides = [Side("direct", direct, CallShape()), Side("mesh", through, CallShape())]
    turns, seconds, seed = options["turns"], options["seconds"], options["seed"]
    assert isinstance(turns, int) and isinstance(seconds, float) and isinstance(seed, int)
    run_session(lambda: measure_turns(sides, turns=turns, seconds=seconds, seed=seed))
    generators, saturation_s = options["generators"], options["saturation_seconds"]
    assert isinstance(generators, int) and isinstance(saturation_s, float)
    saturation = measure_saturation(through, mesh, generators=generators, seconds=saturation_s)
    if options["profile"]:
        mesh.signal(signal.SIGTERM)
        mesh.wait()
    return summarize(sides[0].report, sides[1].report, saturation)


def summarize(direct: LoadReport, mesh: LoadReport, saturation: Saturation) -> Mapping[str, object]:
    """Return the figures under their published names."""
    return {
        "direct_p50_ms": direct.read_ms(50),
        "direct_p99_ms": direct.read_ms(99),
        "mesh_p50_ms": mesh.read_ms(50),
        "mesh_p99_ms": mesh.read_ms(99),
        "added_p50_ms": round(mesh.read_ms(50) - direct.read_ms(50), 3),
        "added_p99_ms": round(mesh.read_ms(99) - direct.read_ms(99), 3),
        "cpu_us_per_call": round(saturation.cpu_us_per_call, 1),
        "max_calls_per_s": round(saturation.calls_per_s),
        "saturated_p50_ms": saturation.p50_ms,
        "saturated_p99_ms": saturation.p99_ms,
        "calls": mesh.calls,
        "failed": direct.calls + mesh.calls - direct.outcomes["200"] - mesh.outcomes["200"],
        "saturated_failed": saturation.failed,
    }
