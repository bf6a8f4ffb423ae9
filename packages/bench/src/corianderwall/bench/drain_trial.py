"""The trial of planned stops: upstreams, nodes, and both, while calls go on."""

import random
import signal
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from corianderwall.bench.load import CallReceiver, name_outcome, plan_instants, read_clock
from corianderwall.bench.mesh import SERVICE, VERSION, Mesh
from corianderwall.bench.running import pause
from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.verdict import Verdict
from corianderwall.standins.upstream import UpstreamStandin
from corianderwall.standins.upstream_settings import Switches, UpstreamSettings

NODES = 3
CONNECTIONS = 64
CALL_TIMEOUT_S = 15.0
WORK_MS = 20.0
LONG_SHARE = 0.02
LONG_BYTES = 5_000_000
MAX_ATTEMPTS = 4
QUIET_S = 4.0
SETTLE_S = 3.0


@dataclass(slots=True)
class Tally:
    """What became of the calls; `cut` are those without a whole answer that may have run."""

    requests: int = 0
    sent_elsewhere: int = 0
    cut: int = 0
    not_served: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    last_new_call_s: list[float] = field(default_factory=list)
    cut_by_servers: int = 0


class Call:
    """One call that may not be repeated; goes on to the next node only if it has not run."""

    def __init__(self, trial: "Trial", call_id: bytes, node: int, length: int) -> None:
        self._trial = trial
        self._call_id = call_id
        self._node = node
        self._length = length
        self._attempts = 0
        self.done: Deferred[None] = Deferred()

    def send(self) -> None:
        """Make the next attempt."""
        self._attempts += 1
        call = OutgoingCall(
            method=b"POST",
            target=b"/bytes/%d" % self._length,
            headers=[(b"host", b"bench"), (b"x-call-id", self._call_id)],
            deadline=self._trial.now() + CALL_TIMEOUT_S,
            idempotent=False,
            body=b"x" * 100,
        )
        pool = self._trial.pools[self._node % NODES]
        pool.send(call, CallReceiver(self._call_id, self._end))

    def _end(self, receiver: CallReceiver, result: AttemptResult) -> None:
        tally = self._trial.tally
        outcome = name_outcome(receiver, result)
        tally.outcomes[outcome] += 1
        if result.verdict is Verdict.NOT_RUN and self._attempts < MAX_ATTEMPTS:
            tally.sent_elsewhere += 1
            self._node += 1
            self.send()
            return
        if result.verdict is Verdict.NOT_RUN:
            tally.not_served += 1
        elif outcome != "200":
            tally.cut += 1
        self.done.callback(None)


class Trial:
    """Drains each part in turn under load and starts it again."""

    def __init__(self, rate: float, seed: int) -> None:
        self.tally = Tally()
        self.pools: list[UpstreamPool] = []
        self._rate = rate
        self._rng = random.Random(seed)
        self._mesh = Mesh()
        self._upstreams: dict[int, UpstreamStandin] = {}
        self._stopping = False

    def now(self) -> float:
        """Return the monotonic time of the reactor's loop."""
        return self._upstreams[0].loop.time()

    async def run(self) -> Mapping[str, object]:
        """Run the trial and return its figures."""
        # In one availability zone every node sends calls to every upstream.
        await self._mesh.start(["zone"] * NODES)
        try:
            await self._mesh.configure()
            for number, node in enumerate(self._mesh.nodes):
                await self._start_upstream(number)
                self.pools.append(UpstreamPool(node.call, CONNECTIONS))
            await self._mesh.wait_until_serving()
            load = Deferred.fromCoroutine(self._send_calls())
            await pause(1.0)
            await self._drain_upstream(0)
            await self._drain_node(1)
            both = [
                Deferred.fromCoroutine(self._drain_upstream(2)),
                Deferred.fromCoroutine(self._drain_node(2)),
            ]
            for each in both:
                await each
            self._stopping = True
            await load
        finally:
            for upstream in self._upstreams.values():
                upstream.stop()
            for pool in self.pools:
                pool.abort()
            await self._mesh.stop()
        return self._summarize()

    async def _start_upstream(self, number: int) -> None:
        node = self._mesh.nodes[number]
        settings = UpstreamSettings(
            service=SERVICE,
            version=VERSION,
            node_host=node.admin.host,
            node_port=node.admin.port,
            slots=12,
            switches=Switches(work_ms=WORK_MS),
        )
        upstream = UpstreamStandin(settings)
        await upstream.start()
        self._upstreams[number] = upstream

    async def _send_calls(self) -> None:
        calls: list[Call] = []
        while not self._stopping:
            start = read_clock()
            for offset in plan_instants(self._rate, 1.0, self._rng):
                await pause(max(0.0, start + offset - read_clock()))
                calls.append(self._send_call())
        for call in calls:
            await call.done

    def _send_call(self) -> Call:
        self.tally.requests += 1
        number = self.tally.requests
        length = LONG_BYTES if self._rng.random() < LONG_SHARE else 256
        call = Call(self, b"d%d" % number, number, length)
        call.send()
        return call

    async def _drain_upstream(self, number: int) -> None:
        upstream = self._upstreams[number]
        began = time.time()
        report = await upstream.drain(self.now() + QUIET_S)
        self.tally.last_new_call_s.append(max(0.0, upstream.last_call_unix_s - began))
        self.tally.cut_by_servers += report.aborted
        upstream.stop()
        await self._start_upstream(number)
        await pause(SETTLE_S)

    async def _drain_node(self, number: int) -> None:
        node = self._mesh.nodes[number]
        node.process.signal(signal.SIGTERM)
        await deferToThread(node.process.wait)
        node.start_again()
        await pause(SETTLE_S)

    def _summarize(self) -> Mapping[str, object]:
        tally = self.tally
        return {
            "seconds_to_last_new_call": round(max(tally.last_new_call_s), 3),
            "cut_requests": tally.cut + tally.cut_by_servers,
            "requests": tally.requests,
            "sent_elsewhere": tally.sent_elsewhere,
            "not_served": tally.not_served,
            "outcomes": dict(tally.outcomes),
            "last_new_call_s": [round(each, 3) for each in tally.last_new_call_s],
        }
