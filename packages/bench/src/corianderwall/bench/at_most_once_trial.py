"""The trial of at-most-once: what is sent, what fails, and what is counted."""

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from corianderwall.bench.load import CallReceiver
from corianderwall.bench.mesh import SERVICE, VERSION, Mesh
from corianderwall.bench.running import pause
from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.verdict import Verdict
from corianderwall.standins.upstream import UpstreamStandin
from corianderwall.standins.upstream_response import make_body
from corianderwall.standins.upstream_settings import Fault, Switches, UpstreamSettings

NODES = 3
CONNECTIONS = 64
CONCURRENCY = 24
CALL_TIMEOUT_S = 0.6
LATE_MS = 900.0
RETRY_DELAYS_S = (0.0, 0.05, 0.2, 0.5, 1.0)
MAX_RESPONSE_BYTES = 100_000
EVENT_EVERY = 400
"""Requests between two faults of a whole process or path."""

FAULT_SHARES = {
    Fault.CLOSE_UNRUN: 0.01,
    Fault.CLOSE_RUN: 0.01,
    Fault.CLOSE_IN_ANSWER: 0.01,
    Fault.TRUNCATE: 0.01,
    Fault.CLOSE_AFTER: 0.01,
    Fault.HANG: 0.002,
    Fault.HANG_RUN: 0.002,
    Fault.LATE: 0.004,
    Fault.REFUSE: 0.02,
    Fault.DOUBLE: 0.01,
}


@dataclass(slots=True)
class Tally:
    """What became of the requests; `whole` counts right and whole answers."""

    requests: int = 0
    whole: int = 0
    crossed: int = 0
    wrong_bodies: int = 0
    not_run: list[bytes] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)


class WholeReceiver(CallReceiver):
    """Keeps the whole answer; its end fires `done`."""

    __slots__ = ("done",)

    def __init__(self, call_id: bytes) -> None:
        super().__init__(call_id, lambda _, result: self.done.callback(result))
        self.done: Deferred[AttemptResult] = Deferred()

    def receive_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.body += data


class Trial:
    """Sends requests through every node while upstreams, paths and nodes fail."""

    def __init__(self, requests: int, seed: int) -> None:
        self.tally = Tally()
        self._requests = requests
        self._rng = random.Random(seed)
        self._seed = seed
        self._mesh = Mesh()
        self._upstreams: list[UpstreamStandin] = []
        self._pools: list[UpstreamPool] = []
        self._next_event = EVENT_EVERY

    async def run(self) -> Mapping[str, object]:
        """Run the trial and count against what the upstreams have executed."""
        await self._mesh.start([f"zone-{number}" for number in range(NODES)])
        try:
            await self._mesh.configure()
            for number, node in enumerate(self._mesh.nodes):
                await self._start_upstream(number)
                self._pools.append(UpstreamPool(node.call, CONNECTIONS))
            await self._mesh.wait_until_serving()
            for upstream in self._upstreams:
                upstream.set_switches(Switches(fault_shares=FAULT_SHARES, late_ms=LATE_MS))
            workers = [Deferred.fromCoroutine(self._work()) for _ in range(CONCURRENCY)]
            for worker in workers:
                await worker
            # What is late may still run.
            await pause(2 * LATE_MS / 1000)
        finally:
            for upstream in self._upstreams:
                upstream.stop()
            for pool in self._pools:
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
            seed=self._seed + len(self._upstreams),
        )
        upstream = UpstreamStandin(settings, with_relay=True)
        await upstream.start()
        self._upstreams.append(upstream)

    async def _work(self) -> None:
        while self.tally.requests < self._requests:
            self.tally.requests += 1
            number = self.tally.requests
            if number >= self._next_event:
                self._next_event += EVENT_EVERY
                await self._cause_event()
            await self._send(b"r%d" % number)

    async def _send(self, call_id: bytes) -> None:
        length = self._rng.choice((0, 10, 256, 5000, MAX_RESPONSE_BYTES))
        body = b"x" * self._rng.choice((0, 3, 2000, 90_000))
        streamed = self._rng.random() < 0.3
        for delay_s in RETRY_DELAYS_S:
            await pause(delay_s)
            receiver = WholeReceiver(call_id)
            call = self._make_call(call_id, length, body, streamed=streamed)
            attempt = self._rng.choice(self._pools).send(call, receiver)
            if streamed:
                attempt.write_body(body)
                attempt.end_body()
            result = await receiver.done
            self._note(call_id, length, receiver, result)
            if result.verdict is not Verdict.NOT_RUN:
                return
        self.tally.not_run.append(call_id)

    def _make_call(
        self, call_id: bytes, length: int, body: bytes, *, streamed: bool
    ) -> OutgoingCall:
        kind = b"/chunked/%d" if self._rng.random() < 0.3 else b"/bytes/%d"
        return OutgoingCall(
            method=b"POST",
            target=kind % length,
            headers=[(b"host", b"bench"), (b"x-call-id", call_id)],
            deadline=self._upstreams[0].loop.time() + CALL_TIMEOUT_S,
            idempotent=False,
            body=b"" if streamed else body,
            streamed=streamed,
            body_length=None if self._rng.random() < 0.5 else len(body),
        )

    def _note(
        self, call_id: bytes, length: int, receiver: WholeReceiver, result: AttemptResult
    ) -> None:
        tally = self.tally
        name = result.error.name.lower() if result.error is not None else str(result.status)
        tally.outcomes[name] += 1
        if receiver.is_crossed:
            tally.crossed += 1
        if result.complete and result.status == 200:
            expected = make_body(call_id, length)
            tally.whole += receiver.body == expected
            tally.wrong_bodies += receiver.body != expected

    async def _cause_event(self) -> None:
        kind = self._rng.choice(("silence", "upstream", "node"))
        number = self._rng.randrange(NODES)
        self.tally.events[kind] += 1
        if kind == "silence":
            self._upstreams[-1 - number].silence_connections()
        elif kind == "upstream":
            await self._replace_upstream(number)
        else:
            await self._restart_node(number)

    async def _replace_upstream(self, number: int) -> None:
        node = self._mesh.nodes[number]
        for upstream in self._upstreams:
            if upstream.settings.node_port == node.admin.port:
                upstream.stop()
        await self._start_upstream(number)
        self._upstreams[-1].set_switches(Switches(fault_shares=FAULT_SHARES, late_ms=LATE_MS))

    async def _restart_node(self, number: int) -> None:
        node = self._mesh.nodes[number]
        node.process.kill()
        await pause(0.2)
        node.start_again()

    def _summarize(self) -> Mapping[str, object]:
        executions: Counter[bytes] = Counter()
        faults = sum(self.tally.events.values())
        for upstream in self._upstreams:
            executions.update(upstream.executions)
            faults += upstream.counts.faults
        tally = self.tally
        return {
            "requests": tally.requests,
            "faults": faults,
            "ran_twice": sum(count > 1 for count in executions.values()),
            "false_not_run": sum(call_id in executions for call_id in tally.not_run),
            "crossed_answers": tally.crossed,
            "wrong_bodies": tally.wrong_bodies,
            "whole_answers": tally.whole,
            "executed": len(executions),
            "outcomes": dict(tally.outcomes),
            "events": dict(tally.events),
        }
