"""A stand-in for an application endpoint, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable

from mesh_3.http import Message, encode_request, encode_response, read_message

ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
BEAT_S = 0.5
ACK_TIMEOUT_S = 1.0


class Endpoint:
    """Runs requests for `work_s` each and reports itself to the node on its machine.

    `record` gets one line for each thing that happens. `choose_status` decides on the status of a
    request by its id.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        control: tuple[str, int],
        zone: str,
        record: Callable[[str], None],
        *,
        version: str = "v1",
        capacity: int = 6,
        work_s: float = 0.05,
        choose_status: Callable[[str], int] = lambda _: 200,
    ) -> None:
        self.name, self.service, self.version, self.zone = name, service, version, zone
        self.address, self.control = address, control
        self.capacity, self.work_s = capacity, work_s
        self.choose_status = choose_status
        self.state = "ready"
        self.runs: list[tuple[float, str]] = []
        self.acknowledged_at: float | None = None
        self._record = record
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._slots = asyncio.Semaphore(capacity)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and report itself."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._beats = asyncio.create_task(self._report())

    async def stop(self) -> None:
        """End at once, as a process that is stopped without draining."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record(f"endpoint {self.name} ends")

    async def send_beat(self) -> bool:
        """Report itself once; return whether that was acknowledged within a second."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        return await self._tell("PUT", json.dumps(body).encode())

    async def _tell(self, method: str, body: bytes) -> bool:
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.control)
                headers = {"Host": "control", "Content-Type": "application/json"}
                path = f"/api/instances/{self.name}"
                writer.write(encode_request(method, path, headers, body))
                response = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return response is not None and 200 <= response.status < 300

    async def _report(self) -> None:
        while True:
            await self.send_beat()
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        # A task that is cancelled at the end of the case must not be reported.
        with contextlib.suppress(*ENDS):
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return encode_response(status, {"Instance-Id": self.name})
        request_id = request.headers.get("request-id", "")
        echo = {"Request-Id": request_id}
        if request.headers.get("expected-instance", self.name) != self.name:
            return encode_response(421, {**echo, "Instance-Id": self.name, "Not-Executed": "1"})
        async with self._slots:
            self.runs.append((time.monotonic(), request_id))
            self._record(f"endpoint {self.name} {self.version} runs {request_id}")
            await asyncio.sleep(self.work_s)
        status = self.choose_status(request_id)
        body = f"{self.name} {request_id}".encode() * 8
        return encode_response(status, {**echo, "Response-Signature": f"{self.name}.ok"}, body)
