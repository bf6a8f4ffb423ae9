"""The machines that watch the configuration are cut off from the store; the others stay behind."""

import asyncio
import time
from pathlib import Path
from typing import Any

from harness.case import run_case
from harness.mesh import BOUNDS, Machine, Mesh, Result, make_route
from harness.record import Record

ROUNDS = 3
CUT_MACHINES = 2
CUT_S = 4.3
ROUND_S = 14.0
"""A cut, and the time until all machines have caught up and are in touch again."""
BEFORE_CHANGE_S = 0.1
REQUEST_INTERVAL_S = 0.05
CONTACT_S = BOUNDS["contact_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000
WORK_S = 0.02


def make_routes(version: int) -> list[dict[str, Any]]:
    """Return the routes of a version; successive versions move the route to the other service."""
    service = ("alpha", "beta")[version % 2]
    return [make_route("/desk/", service, "idempotent")]


def choose_machines(mesh: Mesh) -> list[Machine]:
    """Return the machines that have read the configuration last."""
    read_at = mesh.store.read_at
    names = sorted(read_at, key=read_at.__getitem__, reverse=True)[:CUT_MACHINES]
    return [machine for machine in mesh.machines if machine.name in names]


async def play(mesh: Mesh, trouble: bool) -> list[str]:
    """Change the configuration, each time while two machines are cut off from the store."""
    await mesh.start(make_routes(1))
    await asyncio.sleep(CONTACT_S + 2.0)
    findings: list[str] = []
    for version in range(2, 2 + ROUNDS):
        began = time.monotonic()
        cut = choose_machines(mesh)
        if trouble:
            mesh.store.cut = {machine.name for machine in cut}
            mesh.record.write("cut off from the store", machines=sorted(mesh.store.cut))
        await asyncio.sleep(BEFORE_CHANGE_S)
        mesh.write_config(version, make_routes(version))
        acknowledged = time.monotonic()
        others = [machine for machine in mesh.machines if machine not in cut]
        requests: list[asyncio.Task[Result]] = []
        while time.monotonic() < began + CUT_S:
            requests += [mesh.send(machine, "GET", "/desk/x") for machine in others]
            await asyncio.sleep(REQUEST_INTERVAL_S)
        mesh.store.cut = set()
        mesh.record.write("no machine is cut off")
        results = await asyncio.gather(*requests)
        findings += judge(mesh, version, acknowledged, results)
        await asyncio.sleep(max(0.0, began + ROUND_S - time.monotonic()))
    return findings


def judge(mesh: Mesh, version: int, acknowledged: float, results: list[Result]) -> list[str]:
    """Return the requests that the service of the older version ran after the bound."""
    old_service = make_routes(version - 1)[0]["service"]
    service_of = {
        run.request: machine.service for machine in mesh.machines for run in machine.endpoint.runs
    }
    stale = [
        result
        for result in results
        if result.sent > acknowledged + APPLY_S and service_of.get(result.request) == old_service
    ]
    if not stale:
        return []
    last = max(result.sent for result in stale) - acknowledged
    machines = sorted({result.machine for result in stale})
    return [
        f"CONFIG: r{version}: {len(stale)} requests that were sent up to {last:.2f} s after its"
        f" acknowledgement, at {machines}, were run by {old_service}, as only r{version - 1} allows"
    ]


def make_mesh(record: Record) -> Mesh:
    """Return two zones with three machines each."""
    services = ["alpha", "alpha", "alpha", "beta", "beta", "beta"]
    return Mesh(record, services, ["zone-a", "zone-b"], lambda: WORK_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, make_mesh, play)
