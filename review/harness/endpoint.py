"""A stand-in of an application endpoint, as the page on the protocol describes it."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from harness.http import Message, Reply, Server, send
from harness.record import Record

QUEUE = 24
"""Requests that an endpoint queues beyond its slots."""
HEARTBEAT_S = 1.5


@dataclass
class Run:
    """A request that the endpoint began to run; times are monotonic seconds."""

    request: str
    method: str
    target: str
    caller: str
    began: float
    ended: float | None = None


class Endpoint:
    """Runs requests in `slots` slots, `work_s` long each, and announces itself to its node."""

    def __init__(
        self,
        record: Record,
        identity: str,
        service: str,
        host: str,
        port: int,
        control_port: int,
        zone: str,
        *,
        version: str = "v1",
        slots: int = 6,
        work_s: Callable[[], float] = lambda: 0.05,
    ) -> None:
        self.id = identity
        self.service = service
        self.runs: list[Run] = []
        self.acknowledged: dict[str, float] = {}
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._record = record
        self._host, self._port, self._control_port = host, port, control_port
        self._zone, self._version, self._slots = zone, version, slots
        self._work_s = work_s
        self._running = 0
        self._free = asyncio.Semaphore(slots)
        self._server = Server(self._handle)
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        await self._server.listen(self._host, self._port)
        self._beats = asyncio.ensure_future(self._send_heartbeats())

    def end(self) -> None:
        """End the process of the endpoint; what runs is lost."""
        self.stop_heartbeats()
        self._server.close()
        self._record.write("endpoint ended", endpoint=self.id)

    async def restart(self, clock_ahead_ms: int = 0) -> None:
        """Start again under the same id; nothing of before is known any more."""
        self.born = int(time.time() * 1000) + clock_ahead_ms
        self.sequence = 0
        self.leaving = False
        self.acknowledged = {}
        self._server = Server(self._handle)
        await self.start()

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    def make_heartbeat(self, state: str = "ready") -> dict[str, object]:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": self._zone,
            "version": self._version,
            "capacity": self._slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def send_heartbeat(self, beat: dict[str, object]) -> bool:
        """Send a heartbeat; return whether it is acknowledged."""
        return await self._report("PUT", json.dumps(beat).encode(), str(beat["state"]))

    async def send_leave(self) -> bool:
        """Send the notice that the endpoint leaves; return whether it is acknowledged."""
        return await self._report("DELETE", json.dumps({"born": self.born}).encode(), "gone")

    async def drain(self) -> bool:
        """Report `draining`, and go on with heartbeats that say so; return if acknowledged."""
        self.leaving = True
        return await self.send_heartbeat(self.make_heartbeat("draining"))

    async def _report(self, method: str, body: bytes, state: str) -> bool:
        headers = {"Host": "node", "Content-Type": "application/json"}
        try:
            async with asyncio.timeout(1.0):
                answer = await send(
                    self._host,
                    self._control_port,
                    method,
                    f"/api/instances/{self.id}",
                    headers,
                    body,
                )
        except (OSError, TimeoutError) as error:
            self._record.write("report failed", endpoint=self.id, state=state, error=repr(error))
            return False
        acknowledged = 200 <= answer.status < 300
        if acknowledged:
            self.acknowledged.setdefault(state, time.monotonic())
        self._record.write(
            "report", endpoint=self.id, state=state, body=body.decode(), status=answer.status
        )
        return acknowledged

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat(self.make_heartbeat("draining" if self.leaving else "ready"))
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: Message) -> Reply:
        load = f"{self._running},0,{self._slots}"
        if request.target == "/health":
            status = 503 if self.leaving else 200
            return Reply(status, {"Instance-Id": self.id, "Server-Load": load})
        identity = request.headers.get("request-id", "")
        echo = {"Request-Id": identity, "Server-Load": load}
        expected = request.headers.get("expected-instance", self.id)
        if expected != self.id:
            return Reply(421, echo | {"Instance-Id": self.id})
        if not identity:
            return Reply(400, {"Not-Executed": "1"})
        if self._running >= self._slots + QUEUE:
            return Reply(503, echo | {"Not-Executed": "1"})
        self._running += 1
        try:
            async with self._free:
                return await self._run(request, identity, echo)
        finally:
            self._running -= 1

    async def _run(self, request: Message, identity: str, echo: dict[str, str]) -> Reply:
        run = Run(
            identity,
            request.method,
            request.target,
            request.headers.get("caller-service", ""),
            time.monotonic(),
        )
        self.runs.append(run)
        self._record.write(
            "run",
            endpoint=self.id,
            service=self.service,
            request=identity,
            method=request.method,
            target=request.target,
            caller=run.caller,
        )
        await asyncio.sleep(self._work_s())
        run.ended = time.monotonic()
        signature = {"Response-Signature": f"{self.id}.{identity}"}
        body = f"{self.id} ran {identity}\n".encode()
        return Reply(200, echo | signature, body, close=self.leaving)
