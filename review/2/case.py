"""All nodes are killed after an endpoint's leave was acknowledged; a late heartbeat arrives."""

import asyncio
import signal
import time
from pathlib import Path

from harness.case import run_case
from harness.mesh import BOUNDS, Mesh, make_route
from harness.record import Record

CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
RESTART_S = 0.5
"""The pause before a killed process is started again."""
LATE_S = 3.0
"""How late the heartbeat arrives that was sent before the leave."""
SERVES_ON_S = 12.0
"""How long the endpoint serves after the acknowledgement, which may be many seconds."""
REQUEST_INTERVAL_S = 0.05
WORK_S = 0.3
ROUTES = [
    make_route("/book/", "booking", "non_idempotent"),
    make_route("/list/", "listing", "idempotent"),
]


async def play(mesh: Mesh, trouble: bool) -> list[str]:
    """Let an endpoint leave, kill all nodes and start them again, deliver the late heartbeat."""
    await mesh.start(ROUTES)
    await asyncio.sleep(CONTACT_S + 2.0)
    leaving = mesh.machines[0].endpoint
    leaving.stop_heartbeats()
    # Sent now, but held up on its way.
    late_beat = leaving.make_heartbeat()
    late_at = time.monotonic() + LATE_S
    leaving.leaving = True
    if not await leaving.send_leave():
        return []
    acknowledged_at = leaving.acknowledged["gone"]
    if trouble:
        for machine in mesh.machines:
            mesh.signal_node(machine, signal.SIGKILL)
        await asyncio.sleep(RESTART_S)
        for machine in mesh.machines:
            mesh.start_node(machine)
        await mesh.wait_until_ready()
    await asyncio.sleep(max(0.0, late_at - time.monotonic()))
    await leaving.send_heartbeat(late_beat)
    in_touch_from = max(machine.disturbed for machine in mesh.machines) + CONTACT_S
    await asyncio.sleep(max(0.0, in_touch_from + 0.1 - time.monotonic()))
    while time.monotonic() < acknowledged_at + SERVES_ON_S:
        for machine in mesh.machines:
            mesh.send(machine, "POST", "/book/x")
        await asyncio.sleep(REQUEST_INTERVAL_S)
    leaving.end()
    await mesh.finish_clients()
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
        f" its leave; {len(lost)} of them were lost as it ended (status"
        f" {sorted({result.status for result in lost})})"
    ]


def make_mesh(record: Record) -> Mesh:
    """Return two zones with four machines each; a service has four endpoints."""
    services = ["booking"] * 4 + ["listing"] * 4
    return Mesh(record, services, ["zone-a", "zone-b"], lambda: WORK_S)


if __name__ == "__main__":
    run_case(Path(__file__).parent, make_mesh, play)
