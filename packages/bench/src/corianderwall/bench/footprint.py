"""What a node costs at rest: the time to its start, memory, processor time, size on a host."""

import argparse
import time
from collections.abc import Mapping
from pathlib import Path

from corianderwall.bench.mesh import Mesh, wait_for_response
from corianderwall.bench.processes import ChildProcess
from corianderwall.bench.running import pause, run_session

BINARY = Path("dist/corianderwall")
MIB = 1024 * 1024


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return start_s, idle_rss_mb, idle_cpu_percent and binary_mb of one node.

    The binary is used if it has been built; its first start, which unpacks it, is reported apart.
    """
    parser = argparse.ArgumentParser(prog="footprint")
    parser.add_argument("--seconds", type=float, default=20.0, help="how long the node rests")
    options = parser.parse_args(arguments)
    return run_session(lambda: _run(options.seconds))


async def _run(seconds: float) -> Mapping[str, object]:
    mesh = Mesh()
    await mesh.start(["zone-a"])
    node = mesh.nodes[0]
    try:
        await wait_for_response(f"http://{node.admin}/ready", anything=False)
        node.process.kill()
        starts = [await _time_start(mesh) for _ in range(3)]
        before, began = node.process.read_usage(), time.monotonic()
        await pause(seconds)
        after = node.process.read_usage()
        busy = (after.cpu_s - before.cpu_s) / (time.monotonic() - began)
        return {
            "start_s": round(sorted(starts)[1], 3),
            "first_start_s": round(starts[0], 3),
            "idle_rss_mb": round(after.resident_bytes / MIB, 1),
            "idle_cpu_percent": round(busy * 100, 2),
            "binary_mb": round(BINARY.stat().st_size / MIB, 1) if BINARY.exists() else None,
            "run_from": "binary" if BINARY.exists() else "source",
        }
    finally:
        await mesh.stop()


async def _time_start(mesh: Mesh) -> float:
    node = mesh.nodes[0]
    node.process.kill()
    began = time.monotonic()
    if BINARY.exists():
        node.process = ChildProcess.run(str(BINARY), "node", str(node.settings))
    else:
        node.start_again()
    await wait_for_response(f"http://{node.admin}/ready", anything=False, poll_s=0.01)
    return time.monotonic() - began
