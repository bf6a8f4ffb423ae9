"""The trial of added-latency: two sides, their turns, and the load at saturation."""

import json
import random
import signal
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.threads import deferToThread

from corianderwall.bench.load import CallShape, LoadReport, OpenLoad, plan_instants
from corianderwall.bench.mesh import SERVICE, VERSION, Mesh
from corianderwall.bench.processes import ChildProcess
from corianderwall.bench.running import pause
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.endpoint import Address

RATE = 254.0
"""Calls a second of one endpoint at the stated size: 150,000 over 590."""

SETTLING_RATE = 20.0
"""Calls a second while the entry node waits for its leases."""

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


class Trial:
    """Starts the upstream and what stands before it, measures, and ends all of it."""

    def __init__(self, options: Mapping[str, Any]) -> None:
        self._options = options
        self._children: list[ChildProcess] = []
        self._mesh: Mesh | None = None

    async def run(self) -> Mapping[str, object]:
        """Run the trial."""
        options = self._options
        try:
            if options["mesh"] == "forwarder":
                direct, through, process = self._start_forwarder()
            else:
                direct, through, process = await self._start_nodes()
            sides = [
                Side("direct", direct, CallShape()),
                Side("mesh", through, CallShape()),
                Side("direct again", direct, CallShape()),
            ]
            await measure_turns(
                sides, turns=options["turns"], seconds=options["seconds"], seed=options["seed"]
            )
            saturation = await deferToThread(
                measure_saturation,
                through,
                process,
                generators=options["generators"],
                seconds=options["saturation_seconds"],
            )
            if options["profile"]:
                process.signal(signal.SIGTERM)
                process.wait()
        finally:
            for child in self._children:
                child.kill()
            if self._mesh is not None:
                await self._mesh.stop()
        return summarize(sides[0].report, sides[1].report, sides[2].report, saturation)

    def _start_forwarder(self) -> tuple[Address, Address, ChildProcess]:
        direct = self._start_upstream().read_address()
        arguments = ["--upstream-port", str(direct.port)]
        if self._options["profile"]:
            arguments += ["--profile", self._options["profile"]]
        process = ChildProcess("corianderwall.bench.forwarder", *arguments)
        self._children.append(process)
        return direct, process.read_address(), process

    async def _start_nodes(self) -> tuple[Address, Address, ChildProcess]:
        self._mesh = mesh = Mesh()
        await mesh.start(["zone-0", "zone-0"])
        await mesh.configure()
        entry, owner = mesh.nodes
        if self._options["mesh"] == "local":
            entry = owner
        upstream = self._start_upstream(
            "--service", SERVICE, "--version", VERSION, "--node-port", str(owner.admin.port)
        )
        direct = upstream.read_address()
        await mesh.wait_until_serving()
        if entry is not owner:
            await keep_calling(entry.call, self._options["settle"])
        return direct, entry.call, entry.process

    def _start_upstream(self, *arguments: str) -> ChildProcess:
        sizes = ("--slots", "12", "--connections", "130")
        upstream = ChildProcess("corianderwall.standins", "upstream", *sizes, *arguments)
        self._children.append(upstream)
        return upstream


async def keep_calling(address: Address, seconds: float) -> None:
    """Send a few calls a second, so that the entry node asks for leases and gets them."""
    pool = UpstreamPool(address, CONNECTIONS)
    instants = plan_instants(SETTLING_RATE, seconds, random.Random(0))
    await OpenLoad(pool, CallShape(), instants).run()
    pool.abort()


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


def summarize(
    direct: LoadReport, mesh: LoadReport, again: LoadReport, saturation: Saturation
) -> Mapping[str, object]:
    """Return the figures under their published names.

    `null_added_p99_ms` compares the direct side with itself: what the machine adds on its own.
    """
    return {
        "direct_p50_ms": direct.read_ms(50),
        "direct_p99_ms": direct.read_ms(99),
        "mesh_p50_ms": mesh.read_ms(50),
        "mesh_p99_ms": mesh.read_ms(99),
        "added_p50_ms": round(mesh.read_ms(50) - direct.read_ms(50), 3),
        "added_p99_ms": round(mesh.read_ms(99) - direct.read_ms(99), 3),
        "null_added_p50_ms": round(again.read_ms(50) - direct.read_ms(50), 3),
        "null_added_p99_ms": round(again.read_ms(99) - direct.read_ms(99), 3),
        "cpu_us_per_call": round(saturation.cpu_us_per_call, 1),
        "max_calls_per_s": round(saturation.calls_per_s),
        "saturated_p50_ms": saturation.p50_ms,
        "saturated_p99_ms": saturation.p99_ms,
        "calls": mesh.calls,
        "failed": direct.calls + mesh.calls - direct.outcomes["200"] - mesh.outcomes["200"],
        "saturated_failed": saturation.failed,
    }
