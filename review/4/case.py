"""An endpoint that goes down and up starts again as its machine's clock is set back."""

import asyncio
from pathlib import Path

from harness.case import run_case
from harness.mesh import BOUNDS, Mesh, make_route
from harness.record import Record

CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
STEP_MS = 2000
"""How far the time of day of the machine is ahead for a while."""
UP_S = 1.2
DOWN_S = 0.3
"""How long the endpoint is up and down by turns."""
SERVES_ON_S = 6.0
"""How long the endpoint serves after the acknowledgement, which may be many seconds."""
REQUEST_INTERVAL_S = 0.1
WORK_S = 0.3
ROUTES = [
    make_route("/book/", "booking", "non_idempotent"),
    make_route("/list/", "listing", "idempotent"),
]


async def send_requests(mesh: Mesh) -> None:
    """Send the usual requests of the clients until cancelled."""
    while True:
        for machine in mesh.machines:
            mesh.send(machine, "POST", "/book/x")
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def play(mesh: Mesh, trouble: bool) -> list[str]:
    """Let the endpoint crash twice, with a step of the clock between, and let it leave later."""
    await mesh.start(ROUTES)
    await asyncio.sleep(CONTACT_S + 2.0)
    endpoint = mesh.machines[0].endpoint
    # The endpoint keeps its id. It first starts while the time of day is ahead, then after the
    # time of day is right again.
    for clock_ahead_ms in (STEP_MS if trouble else 0, 0):
        endpoint.end()
        await asyncio.sleep(DOWN_S)
        await endpoint.restart(clock_ahead_ms)
        mesh.record.write("endpoint started again", endpoint=endpoint.id, born=endpoint.born)
        await asyncio.sleep(UP_S)
    # The clients were quiet while the endpoint was down.
    traffic = asyncio.ensure_future(send_requests(mesh))
    await asyncio.sleep(CONTACT_S + 1.0)
    acknowledged_at = None
    if await endpoint.drain():
        acknowledged_at = endpoint.acknowledged["draining"]
    await asyncio.sleep(SERVES_ON_S)
    await endpoint.send_leave()
    endpoint.end()
    traffic.cancel()
    await mesh.finish_clients()
    if acknowledged_at is None:
        return []
    return judge(mesh, acknowledged_at)


def judge(mesh: Mesh, acknowledged_at: float) -> list[str]:
    """Return what reached the leaving endpoint after the bound, and what was lost as it ended."""
    bound = acknowledged_at + DRAIN_S
    leaving = mesh.machines[0].endpoint
    late = [run for run in leaving.runs if run.began > bound]
    if not late:
        return []
    lost_ids = {run.request for run in late if run.ended is None}
    lost = [result for result in mesh.results if result.request in lost_ids]
    return [
        f"DRAIN: {len(late)} requests reached {leaving.id} up to"
        f" {max(run.began for run in late) - acknowledged_at:.2f} s after the acknowledgement of"
        f" 'draining'; {len(lost)} of them were lost as it ended (status"
        f" {sorted({result.status for result in lost})})"
    ]


def make_mesh(record: Record) -> Mesh:
    """Return two zones with nine machines; one of seven endpoints crashes."""
    services = ["booking"] * 7 + ["listing"] * 2
    return Mesh(record, services, ["zone-a", "zone-b"], lambda: WORK_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, make_mesh, play)
