"""Stand-in for an upstream of the platform: slots, queue, shedding, cancellation, faults."""

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.limits import ServerLimits
from corianderwall.httpflow.server import CallServer, DrainReport
from corianderwall.model.endpoint import Address, EndpointState
from corianderwall.standins.upstream_announcer import Announcement, Announcer
from corianderwall.standins.upstream_job import CallJob, refuse
from corianderwall.standins.upstream_relay import UpstreamRelay
from corianderwall.standins.upstream_settings import Switches, UpstreamSettings
from corianderwall.standins.upstream_work import Behaviour, LaggedValue, WorkQueue

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

JSON_HEADERS = [(b"content-type", b"application/json")]
SPARE_CONNECTIONS = 1


class Counts(msgspec.Struct):
    """Counters of the stand-in; `ran_twice` counts call ids that ran more than once."""

    calls: int = 0
    executions: int = 0
    refused: int = 0
    cancelled: int = 0
    expired: int = 0
    ran_twice: int = 0
    faults: int = 0
    connections: int = 0


class UpstreamStandin:
    """One upstream endpoint; `executions` counts the runs by `x-call-id`.

    With `with_relay`, calls pass through a relay that can silently stop forwarding.
    """

    def __init__(self, settings: UpstreamSettings, *, with_relay: bool = False) -> None:
        self.settings = settings
        self.executions: Counter[bytes] = Counter()
        self.counts = Counts()
        self.queue = WorkQueue(settings.slots, settings.queue)
        self.draining = False
        self.loop = asyncio.get_event_loop()
        rng = random.Random(settings.seed)
        self.behaviour = Behaviour(settings, rng, self.loop.time())
        self.address = Address(host=settings.host, port=settings.port)
        self.last_call_unix_s = 0.0
        self._last_status = 200
        self._load = LaggedValue()
        self._health = LaggedValue()
        self._relay: UpstreamRelay | None = UpstreamRelay() if with_relay else None
        self._announcer: Announcer | None = None
        self._server = self._make_server()

    async def start(self) -> Address:
        """Listen, announce the upstream, and return the address to send calls to."""
        settings = self.settings
        if self._relay is None:
            self.address = await self._server.listen(settings.host, settings.port)
        else:
            server_address = await self._server.listen(settings.host, 0)
            self.address = await self._relay.listen(settings.host, settings.port, server_address)
        if settings.node_port:
            self.announce_to(Address(host=settings.node_host, port=settings.node_port))
        return self.address

    def announce_to(self, node: Address) -> None:
        """Announce this upstream to `node`, and no longer to any other node."""
        if self._announcer is not None:
            self._announcer.close()
        self._announcer = Announcer(node, self._make_announcement())
        self._announcer.start()

    def set_switches(self, switches: Switches) -> None:
        """Replace the switches of the running stand-in."""
        self.behaviour.replace_switches(switches)

    @property
    def relay_connections(self) -> int:
        """Return the number of connections that the relay forwards."""
        return 0 if self._relay is None else self._relay.open_connections

    def silence_connections(self) -> int:
        """Stop forwarding on the open connections and return their number."""
        if self._relay is None:
            raise RuntimeError("the stand-in runs without a relay")
        return self._relay.silence_connections()

    def drain(self, quiet_deadline: float) -> "Deferred[DrainReport]":
        """Withdraw the announcement, finish all calls and close."""
        self.draining = True
        if self._announcer is not None:
            self._announcer.withdraw()
        return self._server.drain(quiet_deadline)

    def stop(self) -> DrainReport:
        """Stop at once, as a killed process would."""
        if self._announcer is not None:
            self._announcer.close()
        if self._relay is not None:
            self._relay.close()
        return self._server.stop_now()

    def handle(self, call: IncomingCall) -> None:
        """Serve /health, /load and the /standin/ paths, and run any other call."""
        path = call.target.partition(b"?")[0]
        if path in (b"/health", b"/load"):
            self._report_state(call, path)
        elif path.startswith(b"/standin/"):
            self._handle_control(call, path)
        else:
            self._handle_call(call)

    def record_load(self) -> None:
        """Record the current load, which /load reports after its lag."""
        if self.behaviour.switches.load_lag_ms:
            self._load.record(self.loop.time(), self.queue.running + self.queue.waiting)

    def record_health(self, status: int) -> None:
        """Record the status of the latest call, which decides about /health."""
        if self.behaviour.switches.health_lag_ms:
            self._health.record(self.loop.time(), status)
        else:
            self._last_status = status

    def count_execution(self, call_id: bytes | None) -> None:
        """Record that a call starts to run."""
        self.counts.executions += 1
        self.last_call_unix_s = time.time()
        if call_id is not None:
            self.executions[call_id] += 1
            if self.executions[call_id] == 2:
                self.counts.ran_twice += 1

    def _make_server(self) -> CallServer:
        limits = ServerLimits(max_connections=self.settings.connections + SPARE_CONNECTIONS)
        return CallServer(self, limits)

    def _make_announcement(self) -> Announcement:
        settings = self.settings
        return Announcement(
            service=settings.service,
            version=settings.version,
            host=self.address.host,
            port=self.address.port,
            slots=settings.slots,
            connections=settings.connections,
            state=EndpointState.DRAINING if self.draining else EndpointState.READY,
        )

    def _handle_call(self, call: IncomingCall) -> None:
        self.counts.calls += 1
        if self.draining and self.behaviour.switches.refuse_while_draining:
            self.counts.refused += 1
            refuse(call)
            return
        CallJob(self, call).receive()

    def _report_state(self, call: IncomingCall, path: bytes) -> None:
        switches = self.behaviour.switches
        now = self.loop.time()
        if path == b"/load":
            running: float = self.queue.running + self.queue.waiting
            if switches.load_lag_ms:
                running = self._load.read(now - switches.load_lag_ms / 1000)
            body = b'{"running":%d,"slots":%d}' % (
                running * switches.load_factor,
                self.settings.slots,
            )
            call.respond(200, JSON_HEADERS, body)
            return
        status = self._last_status
        if switches.health_lag_ms:
            status = int(self._health.read(now - switches.health_lag_ms / 1000))
        healthy = switches.misleading_health or status < 500
        call.respond(
            200 if healthy else 500, JSON_HEADERS, b'{"healthy":%s}' % _JSON_BOOLEANS[healthy]
        )

    def _handle_control(self, call: IncomingCall, path: bytes) -> None:
        if path == b"/standin/counts":
            self.counts.connections = self._server.open_connections
            call.respond(200, JSON_HEADERS, msgspec.json.encode(self.counts))
        elif path == b"/standin/executions":
            executions_by_id = {
                key.decode("latin-1"): count for key, count in self.executions.items()
            }
            call.respond(200, JSON_HEADERS, msgspec.json.encode(executions_by_id))
        elif path == b"/standin/switches" and call.method == b"PUT":
            self._replace_switches(call)
        elif path == b"/standin/silence" and call.method == b"POST":
            call.respond(200, JSON_HEADERS, b"%d" % self.silence_connections())
        elif path == b"/standin/drain" and call.method == b"POST":
            call.respond(202, JSON_HEADERS, b"{}")
            self.drain(self.loop.time() + 3)
        else:
            call.respond(404, [])

    def _replace_switches(self, call: IncomingCall) -> None:
        try:
            switches = msgspec.json.decode(call.take_body() or b"", type=Switches)
        except msgspec.DecodeError as error:
            call.respond(400, [], str(error).encode())
            return
        self.set_switches(switches)
        call.respond(204, [])


_JSON_BOOLEANS = {False: b"false", True: b"true"}
