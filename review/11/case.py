"""Case 11: one tenant sends several times its usual, and the node beside its clients aborts."""

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from mesh_3.endpoint import Endpoint  # noqa: E402
from mesh_3.http import encode_request, read_message  # noqa: E402
from mesh_3.mesh import BOUNDS, SECTIONS, Machine, Record, make_configuration, send  # noqa: E402
from mesh_3.store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_MS = 2500
DEADLINE_S = 5.0
USUAL_PER_S = 60
TICK_S = 0.25
HOT_X = 7.5
HOT_FROM_S, HOT_FOR_S = (2.0, 14.0), 6.5
LENGTH_S = 34.0
KEPT_CLIENTS = 12
CAPACITY, WORK_S = 12, 0.27


@dataclass
class Sent:
    """A request of a client; instants are monotonic seconds."""

    id: str
    kept: bool
    sent_at: float
    status: int | None = None
    ended_at: float = 0.0


class Clients:
    """The clients of two tenants on the first machine; `all` are the requests that they sent."""

    def __init__(self, machine: Machine, record: Record) -> None:
        self.all: list[Sent] = []
        self._machine, self._record = machine, record
        self._ending = False

    async def run_polls(self) -> None:
        """Send the requests of the tenant that gets hot, each on a new connection."""
        began = time.monotonic()
        running: set[asyncio.Task[None]] = set()
        while (elapsed_s := time.monotonic() - began) < LENGTH_S:
            hot = TROUBLE and any(0 <= elapsed_s - from_s < HOT_FOR_S for from_s in HOT_FROM_S)
            for _ in range(int(USUAL_PER_S * TICK_S * (HOT_X if hot else 1.0))):
                task = asyncio.create_task(self._poll())
                running.add(task)
                task.add_done_callback(running.discard)
            await asyncio.sleep(TICK_S)
        self._ending = True
        await asyncio.gather(*running)

    async def run_kept(self, number: int) -> None:
        """Send requests of the other tenant one after another on a kept connection."""
        await asyncio.sleep(number * 0.02)
        while not self._ending:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._machine.outbound)
                with contextlib.closing(writer):
                    await self._use(reader, writer)
            await asyncio.sleep(0.3)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        kept = False
        while not self._ending:
            request = self._begin("kept", kept)
            writer.write(self._encode(request, "key-b"))
            with contextlib.suppress(TimeoutError, ConnectionError, asyncio.IncompleteReadError):
                async with asyncio.timeout(DEADLINE_S):
                    response = await read_message(reader)
                    request.status = response.status if response is not None else None
            self._end(request)
            if request.status is None:
                return
            kept = True
            await asyncio.sleep(0.3)

    async def _poll(self) -> None:
        request = self._begin("poll", kept=False)
        headers = self._make_headers(request, "key-a")
        response = await send(
            self._machine.outbound, "GET", f"/desk/{request.id}", headers, timeout_s=DEADLINE_S
        )
        request.status = response.status if response is not None else None
        self._end(request)

    def _begin(self, kind: str, kept: bool) -> Sent:
        request = Sent(f"{kind}{len(self.all):06d}", kept, time.monotonic())
        self.all.append(request)
        self._record.write(f"client sends {request.id}{' on a kept connection' if kept else ''}")
        return request

    def _end(self, request: Sent) -> None:
        request.ended_at = time.monotonic()
        self._record.write(f"client of {request.id} got {request.status or 'no answer'}")

    def _make_headers(self, request: Sent, key: str) -> dict[str, str]:
        return {
            "Request-Id": request.id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {key}",
        }

    def _encode(self, request: Sent, key: str) -> bytes:
        headers = {"Host": "mesh.example", **self._make_headers(request, key)}
        return encode_request("GET", f"/desk/{request.id}", headers)


def list_entries() -> list[tuple[str, str, dict[str, object]]]:
    """Return the configuration: one route, two services and two tenants, with quotas."""
    service: dict[str, object] = {"health_path": "/health", "max_connections": 560}
    route: dict[str, object] = {
        "host": "mesh.example",
        "path_prefix": "/desk/",
        "kind": "idempotent",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 800,
        "priority": 1,
        "service": "desk",
        "max_attempts": 2,
        "public": False,
    }
    # A quota is 1.6 times what the tenant usually sends.
    hot = {"api_keys": ["key-a"], "priority": 1, "rate_per_s": 96, "burst": 96}
    other = {"api_keys": ["key-b"], "priority": 1, "rate_per_s": 64, "burst": 64}
    return [
        ("routes", "r-desk", route),
        ("services", "desk", service),
        ("services", "office", service),
        ("tenants", "tenant-a", hot),
        ("tenants", "tenant-b", other),
    ]


def judge(clients: Clients, ran: set[str], node_status: int | None, record: Record) -> bool:
    """Return whether a rule was broken, and record the counts."""
    lost = [
        each
        for each in clients.all
        if each.kept
        and each.status is None
        and each.id in ran
        and each.ended_at - each.sent_at < DEADLINE_S - 0.1
    ]
    limit_s = TIMEOUT_MS / 1000
    late = [each for each in clients.all if _is_unanswered(each, limit_s)]
    never = [each for each in late if _is_unanswered(each, limit_s + 0.5)]
    record.write(f"the node's process: {'runs' if node_status is None else node_status}")
    record.write(f"LOST: {len(lost)} run requests of kept connections were cut; 3 are allowed")
    record.write(f"CONFIG: {len(never)} of {len(late)} late requests had no answer 0.5 s later")
    return len(lost) > 3 or len(never) * 2 > len(late)


def _is_unanswered(request: Sent, after_s: float) -> bool:
    """Return whether the client had waited that long without an answer or an end."""
    return request.ended_at - request.sent_at > after_s


async def play(folder: Path, record: Record) -> int:
    """Run the deployment; return the exit status of the case."""
    store = Store("127.0.11.100", 7100)
    await store.start()
    store.put("config", "main", make_configuration(5, list_entries()))
    sections = [*SECTIONS, "tenants", "quota", "pool", "health"]
    bounds = {
        **BOUNDS,
        "config_apply_ms": 2500,
        "strict_revoke": False,
        "revoke_ms": 5000,
        "quota_window_s": 5,
        "quota_overage": 0.1,
        "quota_slack": 20,
    }
    services = ("office", "desk", "desk")
    machines = [
        Machine(
            f"sidecar-{number}",
            f"zone-{number % 2}",
            f"127.0.11.{number}",
            service,
            7200,
            store.address,
            folder,
            record,
            sections,
            bounds,
        )
        for number, service in enumerate(services, 1)
    ]
    try:
        for machine in machines:
            machine.start()
        if not all([await machine.wait_ready(15.0) for machine in machines]):
            record.write("not all nodes got ready")
            return 2
        endpoints = [
            Endpoint(
                f"i-{number}",
                machine.service,
                machine.endpoint,
                machine.control,
                machine.zone,
                record.write,
                capacity=CAPACITY,
                work_s=WORK_S,
            )
            for number, machine in enumerate(machines, 1)
        ]
        for endpoint in endpoints:
            await endpoint.start()
        await asyncio.sleep(6.0)
        clients = Clients(machines[0], record)
        kept = [clients.run_kept(number) for number in range(KEPT_CLIENTS)]
        await asyncio.gather(clients.run_polls(), *kept)
        process = machines[0].process
        ran = {request_id for endpoint in endpoints for _, request_id in endpoint.runs}
        status = process.poll() if process is not None else None
        return 1 if judge(clients, ran, status, record) else 0
    finally:
        for machine in machines:
            machine.end()


def main() -> int:
    """Run the case in a temporary folder."""
    record = Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(play(Path(folder), record))
        except OSError as error:
            record.write(f"the case could not run: {error}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
