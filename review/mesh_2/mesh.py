"""A small deployment on loopback: nodes as processes, stand-ins for store, endpoints, clients.

Uses the standard library only. The stand-ins do what the users' pages say of a sound store, a
sound endpoint and a sound client, unless a case switches a disruption on.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5


def say(text: str) -> None:
    """Print a line."""
    sys.stdout.write(text + "\n")


class NotRunError(Exception):
    """The case could not be brought about."""


@dataclass
class Request:
    """A request as a server has read it; `read_body` returns the body."""

    method: str
    target: str
    headers: dict[str, str]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_body(self) -> bytes:
        """Read the body, which has a length or comes in chunks."""
        if self.headers.get("transfer-encoding", "").lower() == "chunked":
            return await read_chunks(self.reader)
        return await self.reader.readexactly(int(self.headers.get("content-length", "0")))


@dataclass
class Answer:
    """A response; `body` is empty for a status without one."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    chunks = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        chunks.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(chunks)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers, or raise `IncompleteReadError` at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def serve(
    host: str, port: int, handle: Callable[[Request], Awaitable[Answer | None]]
) -> asyncio.Server:
    """Serve HTTP/1.1; a handler that returns None has closed the connection itself."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                answer = await handle(Request(method, target, headers, reader, writer))
                if answer is None:
                    break
                lines = [f"HTTP/1.1 {answer.status} Status"]
                lines += [f"{name}: {value}" for name, value in answer.headers.items()]
                lines.append(f"Content-Length: {len(answer.body)}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(run, host, port, limit=1 << 20)


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Callable[..., None]) -> None:
        self.revision = 10
        self.objects: dict[str, dict[str, dict]] = {}
        self.deleted: dict[str, list[dict]] = {}
        self.busy = False
        self._record = record
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object, status: object = None) -> dict:
        """Write an object and wake the watches."""
        former = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        created = former["metadata"]["create_rev"] if former else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = item
        self._wake()
        return item

    async def handle(self, request: Request) -> Answer | None:
        """Answer one call."""
        raw = await request.read_body()
        if self.busy:
            return Answer(503)
        url = urlsplit(request.target)
        path = [unquote(part) for part in url.path.removeprefix("/api/objects/").split("/")]
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if request.method == "GET":
            status, body = await self._read(path, query)
        else:
            status, body = self._write(request.method, path, json.loads(raw or b"null"))
        headers = {"Content-Type": "application/json"}
        return Answer(status, headers, json.dumps(body).encode())

    async def _read(self, path: list[str], query: dict[str, str]) -> tuple[int, object]:
        kind = path[0]
        items = self.objects.get(kind, {})
        if len(path) > 1:
            item = items.get(path[1])
            return (200, item) if item else (404, {})
        if "watch" in query:
            since, wait_s = int(query["watch"]), int(query.get("wait_ms", "0")) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    while not self._list_events(kind, since):
                        await self._changed.wait()
            return 200, {
                "events": self._list_events(kind, since),
                "current_rev": self.revision,
            }
        names = sorted(name for name in items if name > query.get("after", ""))
        return 200, {
            "items": [items[name] for name in names],
            "more_pages": False,
            "current_rev": self.revision,
        }

    def _list_events(self, kind: str, since: int) -> list[dict]:
        events = [{"object": o, "deleted": False} for o in self.objects.get(kind, {}).values()]
        events += [{"object": o, "deleted": True} for o in self.deleted.get(kind, ())]
        newer = [e for e in events if e["object"]["metadata"]["revision"] > since]
        return sorted(newer, key=lambda event: event["object"]["metadata"]["revision"])

    def _write(self, method: str, path: list[str], body: dict) -> tuple[int, object]:
        kind = path[0]
        name = path[1] if len(path) > 1 else body["metadata"]["name"]
        former = self.objects.get(kind, {}).get(name)
        if method == "POST" and former is not None:
            return 409, former
        if method != "POST" and former is None:
            return 404, {}
        if method == "DELETE":
            self.revision += 1
            del self.objects[kind][name]
            former["metadata"]["revision"] = self.revision
            self.deleted.setdefault(kind, []).append(former)
            self._wake()
            return 200, former
        expected = body["metadata"].get("revision")
        if former is not None and expected not in (None, former["metadata"]["revision"]):
            return 409, former
        self._record("store write", kind=kind, name=name)
        if path[2:] == ["status"]:
            return 200, self.put(kind, name, former["spec"], body["status"])
        return 200, self.put(kind, name, body["spec"], former["status"] if former else None)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Endpoint:
    """An application endpoint with `slots` slots and a queue."""

    def __init__(
        self, mesh: "Mesh", machine: "Machine", number: int, *, slots: int = 6, work_s: float = 0.1
    ) -> None:
        self.id = f"i-{number:08x}"
        self.work_s = work_s
        self.state = "ready"
        self.announces = True
        self.stalled = False
        self.fails: Callable[[], bool] = lambda: False
        self.failure_status = 500
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[tuple[str, float]] = []
        self.callers: dict[str, str] = {}
        self._mesh = mesh
        self._machine = machine
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await serve(self._machine.ip, self._mesh.ports["app"], self.handle)
        self._tasks.append(asyncio.create_task(self._announce()))

    def stop(self) -> None:
        """End the endpoint, which has left before."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def handle(self, request: Request) -> Answer | None:
        """Run a request, or say that it does not."""
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return Answer(status, {"Instance-Id": self.id})
        while self.stalled:
            await asyncio.sleep(0.02)
        request_id = request.headers.get("request-id", "")
        body = await request.read_body()
        echo = {"Request-Id": request_id}
        if request.headers.get("expected-instance", self.id) != self.id:
            return Answer(421, echo | {"Instance-Id": self.id})
        if not request_id:
            return Answer(400, {"Not-Executed": "1"})
        deadline = time.monotonic() + float(request.headers.get("deadline-ms", "60000")) / 1000
        async with self._free:
            if time.monotonic() > deadline:
                return Answer(503, echo | {"Not-Executed": "1"})
            caller = request.headers.get("caller-service", "")
            self.runs.append((request_id, time.monotonic()))
            self.callers[request_id] = caller
            self._mesh.record(
                "run", request=request_id, endpoint=self.id, caller=caller, bytes=len(body)
            )
            await asyncio.sleep(self.work_s)
        if self.fails():
            self._mesh.record("failure", request=request_id, status=self.failure_status)
            signature = f"sig.{self.id}.{request_id}"
            return Answer(self.failure_status, echo | {"Response-Signature": signature}, b"failed")
        text = f"{self.id} ran {request_id} with {len(body)} bytes".encode()
        return Answer(200, echo | {"Response-Signature": f"sig.{self.id}.{request_id}"}, text)

    async def report(self, method: str = "PUT", *, state: str = "", sequence: int = 0) -> int:
        """Send one heartbeat, or a DELETE; return the status, 0 without an answer."""
        self.sequence += 1
        body = {
            "service": self._machine.service,
            "address": f"{self._machine.ip}:{self._mesh.ports['app']}",
            "zone": self._machine.zone,
            "version": "v1",
            "capacity": self._slots,
            "state": state or self.state,
            "warmup_left_ms": 0,
            "sequence": sequence or self.sequence,
            "born": self.born,
        }
        if method == "DELETE":
            body = {"born": self.born}
        raw = json.dumps(body).encode()
        head = (
            f"{method} /api/instances/{self.id} HTTP/1.1\r\nHost: node\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(1.0):
                answer = await send_once(
                    self._machine.ip, self._mesh.ports["control"], head.encode() + raw
                )
                return answer.status
        except (OSError, asyncio.IncompleteReadError):
            return 0

    async def _announce(self) -> None:
        while True:
            if self.announces:
                await self.report()
            await asyncio.sleep(HEARTBEAT_S)


@dataclass
class Machine:
    """A machine with its address, its node process and its endpoint."""

    name: str
    zone: str
    ip: str
    service: str
    settings: Path
    log: Path
    memory_mb: int = 300
    process: subprocess.Popen | None = None
    endpoint: Endpoint | None = None
    starts: int = 0


async def send_once(host: str, port: int, data: bytes) -> Answer:
    """Send a request on a connection of its own and return the whole answer."""
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
    try:
        writer.write(data)
        await writer.drain()
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer; one that ends early raises `IncompleteReadError`."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Answer(status, headers, await read_chunks(reader))
    return Answer(status, headers, await reader.readexactly(int(headers.get("content-length", 0))))


class Client:
    """A client on a machine, which keeps its connection for many requests."""

    def __init__(self, mesh: "Mesh", machine: Machine) -> None:
        self._mesh = mesh
        self._machine = machine
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        route: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        timeout_ms: int = 3000,
        request_id: str = "",
    ) -> str:
        """Send a request, record what comes back, and return it: a status, `cut` or `late`."""
        request_id = request_id or f"{random.getrandbits(64):016x}"
        head = (
            f"{method} /{route}/x HTTP/1.1\r\nHost: {route}.example\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {timeout_ms}\r\n"
        )
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        sent = False
        started = time.monotonic()
        try:
            async with asyncio.timeout(timeout_ms / 1000 + 1.0):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._machine.ip, self._mesh.ports["outbound"], limit=1 << 22
                    )
                reader, writer = self._streams
                sent = True
                writer.write(head.encode() + b"\r\n" + body)
                await writer.drain()
                answer = await read_answer(reader)
            outcome = str(answer.status)
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
            if answer.status // 100 == 2 and "response-signature" not in answer.headers:
                outcome = "forged"
        except TimeoutError:
            outcome = "late"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            outcome = "cut" if sent else "no connection"
            self.close()
        self._mesh.record(
            "answer",
            request=request_id,
            machine=self._machine.name,
            route=route,
            bytes=len(body),
            outcome=outcome,
            took_ms=round((time.monotonic() - started) * 1000),
        )
        return outcome

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Mesh:
    """Starts and ends all parts of a case, and writes its record."""

    def __init__(self, folder: Path, services: list[str], zones: int = 2) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.machines: list[Machine] = []
        self.ports = dict.fromkeys(("inbound", "outbound", "ready", "control", "app"), 0)
        self.store = Store(self.record)
        self.store_port = 0
        self._services = services
        self._zones = zones
        self._folder = folder
        self._temporary = tempfile.TemporaryDirectory()
        self._record = (folder / "record.txt").open("w")
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._watchers: list[asyncio.Task] = []

    def record(self, event: str, **fields: object) -> None:
        """Write a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record.write(f"{time.monotonic() - self.began:8.3f} {event} {text}\n")
        self._record.flush()

    async def start(self, routes: list[dict], *, memory_mb: int = 300, **endpoint: float) -> None:
        """Start the store, the endpoints and the nodes, and wait until all serve."""
        base = random.randint(20, 50) * 1000
        self.ports = {name: base + 7 * n for n, name in enumerate(self.ports)}
        self.store_port = base + 60
        await serve(f"{self._net}.250", self.store_port, self.store.handle)
        self.write_config(routes)
        for number, service in enumerate(self._services, 1):
            zone = f"zone-{number % self._zones}"
            name = f"sidecar-{zone}-{number}"
            folder = Path(self._temporary.name)
            machine = Machine(
                name=name,
                zone=zone,
                ip=f"{self._net}.{number}",
                service=service,
                settings=folder / f"{name}.json",
                log=folder / f"{name}.log",
                memory_mb=memory_mb,
            )
            self.machines.append(machine)
            self.write_settings(machine)
            machine.endpoint = Endpoint(self, machine, number, **endpoint)
            await machine.endpoint.start()
        for machine in self.machines:
            self.start_node(machine)
        await self.wait_ready(20.0)

    def write_config(self, routes: list[dict], version: int = 7) -> None:
        """Write a configuration as the operator does."""
        resources: list[dict] = []
        for route in routes:
            spec = {
                "host": f"{route['name']}.example",
                "path_prefix": f"/{route['name']}/",
                "kind": "idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 800,
                "priority": 1,
                "max_attempts": 2,
            } | {key: value for key, value in route.items() if key != "name"}
            resources.append(
                {"resource_type": "routes", "metadata": {"name": route["name"]}, "spec": spec}
            )
        for service in sorted(set(self._services)):
            spec = {"health_path": "/health", "max_connections": 110}
            resources.append(
                {"resource_type": "services", "metadata": {"name": service}, "spec": spec}
            )
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        resources.append({"resource_type": "limits", "metadata": {}, "spec": limits})
        self.store.put("config", "main", {"version": f"r{version}", "resources": resources})
        self.record("configuration", version=version)

    def write_settings(self, machine: Machine) -> None:
        """Write the settings file of a machine, as the platform does at a start and a change."""
        machine.settings.write_text(json.dumps(self._make_settings(machine)))
        self.record("settings", machine=machine.name, service=machine.service)

    def _make_settings(self, machine: Machine) -> dict:
        def address(name: str) -> str:
            return f"{machine.ip}:{self.ports[name]}"

        limits = {
            "cpu_quota": 0.86,
            "cpu_cores": 1,
            "memory_mb": machine.memory_mb,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        }
        bounds = {
            "seed_staleness_s": 3,
            "addr_reuse_s": 2,
            "contact_ms": 3000,
            "ack_ms": 4000,
            "sync_s": 4,
            "drain_timeout_ms": 2000,
            "grace_period_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "max_stretch_ms": 5000,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "budget_slack": 56,
            "canary_share": 0.1,
            "canary_slack": 50,
            "rollback_ms": 5000,
            "recovery_s": 15,
        }
        sections = ["base", "drain", "config", "cost", "retry", "recover", "rollout", "platform"]
        return {
            "self": {
                "node_name": machine.name,
                "role": "node",
                "instance_class": "sidecar",
                "serves": ["sidecar"],
                "ip": machine.ip,
                "zone": machine.zone,
                "region": "midlands",
                "counts_toward_faults": False,
                "bootstrap": True,
                "data_dir": None,
                "limits": limits,
                "app_addr": address("app"),
                "service": machine.service,
            },
            "network": {
                "bind_addrs": {
                    "inbound": address("inbound"),
                    "outbound": address("outbound"),
                    "ready_addr": address("ready"),
                    "control_plane": address("control"),
                },
                "port_range": [7620, 7635],
                "seed_nodes": [],
                "zones": {f"zone-{n}": "midlands" for n in range(self._zones)},
            },
            "platform": {
                "discovery": "static",
                "entrypoint": "static",
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "platform": {
                    "address": f"{self._net}.250:{self.store_port}",
                    "form": "objects",
                    "writes_per_s": 400,
                    "reads_per_s": 2000,
                    "history_s": 20,
                    "value_bytes": 1048576,
                    "ttl_min_ms": 1000,
                },
            },
            "terms": {
                "policy_sections": sections,
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": bounds,
            },
        }

    def start_node(self, machine: Machine) -> None:
        """Start the node of a machine with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": self._temporary.name,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CORIANDERWALL_NODE_FILE": str(machine.settings),
        }
        with machine.log.open("ab") as log:
            machine.process = subprocess.Popen(
                ["python3", "platform/run.py"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.starts += 1
        self.record("start", machine=machine.name, starts=machine.starts)

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the node of a machine."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.record("signal", machine=machine.name, signal=number.name)

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a node for its readiness, as the platform does."""
        request = b"GET /api/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
        try:
            async with asyncio.timeout(1.0):
                answer = await send_once(machine.ip, self.ports["ready"], request)
                return answer.status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until every node is ready and serves every route."""
        end = time.monotonic() + timeout_s
        for machine in self.machines:
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    raise NotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        # Heartbeats and records of all endpoints are known two intervals later.
        await asyncio.sleep(2 * HEARTBEAT_S)

    def read_memory_mb(self, machine: Machine) -> float:
        """Return the private memory of a node in millions of bytes, 0 if it has ended."""
        assert machine.process is not None
        try:
            status = Path(f"/proc/{machine.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def close(self) -> None:
        """End all processes of this case."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for machine in self.machines:
                (Path(keep) / machine.log.name).write_bytes(machine.log.read_bytes())
        self._temporary.cleanup()


def run_case(folder: Path, services: list[str], play: Callable[[Mesh], Awaitable[bool]]) -> int:
    """Run a case; `play` returns whether the rule held. Return the exit code."""

    async def run() -> int:
        mesh = Mesh(folder, services)
        try:
            async with asyncio.timeout(110):
                held = await play(mesh)
        except Exception as error:
            # Python's own exit code for an error is that of a broken rule.
            mesh.record("not run", error=repr(error))
            say(f"the case could not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            mesh.close()
        say("the rule held" if held else "the rule was broken")
        return EXIT_HELD if held else EXIT_BROKEN

    return asyncio.run(run())
