import asyncio
import time

import msgspec
import pytest
import pytest_twisted
from twisted.internet.defer import Deferred

from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.httpflow.server import CallServer
from corianderwall.model.verdict import Verdict
from corianderwall.standins.upstream import UpstreamStandin
from corianderwall.standins.upstream_response import make_body
from corianderwall.standins.upstream_settings import (
    BadKind,
    BadRule,
    Fault,
    Switches,
    UpstreamSettings,
)


class Receiver:
    def __init__(self) -> None:
        self.body = b""
        self.head = None
        self.done = Deferred()

    def receive_head(self, head) -> None:
        self.head = head

    def receive_body(self, data: bytes) -> None:
        self.body += data

    def finish(self, result) -> None:
        self.result = result
        self.done.callback(result)


async def sleep(seconds: float) -> None:
    await Deferred.fromFuture(asyncio.get_event_loop().create_task(asyncio.sleep(seconds)))


async def wait_until(condition) -> None:
    for _ in range(2000):
        if condition():
            return
        await sleep(0.005)
    raise AssertionError("the condition did not become true within 10 s")


class Harness:
    """A stand-in and a connection pool that sends calls to it."""

    def __init__(self) -> None:
        self.cleanups = []

    async def open(self, *, with_relay=False, size=20, limits=None, **settings):
        self.standin = UpstreamStandin(UpstreamSettings(**settings), with_relay=with_relay)
        self.cleanups.append(self.standin.stop)
        address = await self.standin.start()
        self.pool = UpstreamPool(address, size, limits)
        self.cleanups.append(self.pool.abort)
        return self.standin, self.pool

    def send(self, call_id=b"id", target=b"/", method=b"POST", timeout_s=20.0, body=b"", **headers):
        receiver = Receiver()
        fields = [(name.replace("_", "-").encode(), value) for name, value in headers.items()]
        call = OutgoingCall(
            method=method,
            target=target,
            headers=[(b"host", b"h"), (b"x-call-id", call_id), *fields],
            deadline=asyncio.get_event_loop().time() + timeout_s,
            idempotent=method == b"GET",
            body=body,
        )
        receiver.attempt = self.pool.send(call, receiver)
        return receiver

    async def call(self, *args, **fields):
        receiver = self.send(*args, **fields)
        await receiver.done
        return receiver


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    for cleanup in harness.cleanups:
        cleanup()


@pytest_twisted.ensureDeferred
async def test_a_response_carries_the_call_id_and_the_load(harness) -> None:
    standin, _ = await harness.open(slots=3)
    response = await harness.call(b"a1", b"/bytes/10")
    assert response.body == make_body(b"a1", 10)
    assert response.head.find_header(b"x-call-id") == b"a1"
    assert response.head.find_header(b"x-load") == b"1/3"
    assert standin.executions == {b"a1": 1}


@pytest.mark.parametrize("target", [b"/bytes/3000000", b"/chunked/3000000", b"/chunked/1"])
@pytest_twisted.ensureDeferred
async def test_long_responses_are_streamed_whole(harness, target: bytes) -> None:
    await harness.open()
    response = await harness.call(b"a1", target)
    assert response.result.complete
    assert response.body == make_body(b"a1", int(target.rpartition(b"/")[2]))


@pytest_twisted.ensureDeferred
async def test_calls_beyond_slots_and_queue_are_shed_before_they_run(harness) -> None:
    standin, _ = await harness.open(slots=2, queue=3, switches=Switches(work_ms=50))
    responses = [harness.send(b"%d" % i) for i in range(8)]
    results = [await response.done for response in responses]
    assert [result.verdict for result in results].count(Verdict.NOT_RUN) == 3
    assert (standin.counts.executions, standin.counts.refused) == (5, 3)


@pytest_twisted.ensureDeferred
async def test_a_cancelled_call_releases_its_slot(harness) -> None:
    standin, _ = await harness.open(slots=1, queue=1, switches=Switches(work_ms=60_000))
    first, second = harness.send(b"1"), harness.send(b"2")
    await wait_until(lambda: standin.queue.waiting == 1)
    first.attempt.cancel()
    second.attempt.cancel()
    await wait_until(lambda: (standin.queue.running, standin.queue.waiting) == (0, 0))
    assert standin.counts.cancelled == 2


@pytest_twisted.ensureDeferred
async def test_a_call_past_its_deadline_does_not_run(harness) -> None:
    standin, _ = await harness.open()
    passed = b"%d" % ((time.time() - 1) * 1000)
    response = await harness.call(b"1", x_deadline_unix_ms=passed)
    assert response.result.refused
    assert (standin.executions, standin.queue.running) == ({}, 0)


@pytest.mark.parametrize(
    ("fault", "verdict", "complete", "runs"),
    [
        (Fault.CLOSE_UNRUN, Verdict.MAY_HAVE_RUN, False, 0),
        (Fault.CLOSE_RUN, Verdict.MAY_HAVE_RUN, False, 1),
        (Fault.CLOSE_IN_ANSWER, Verdict.RAN, False, 1),
        (Fault.TRUNCATE, Verdict.RAN, False, 1),
        (Fault.CLOSE_AFTER, Verdict.RAN, True, 1),
        (Fault.HANG, Verdict.MAY_HAVE_RUN, False, 0),
        (Fault.HANG_RUN, Verdict.MAY_HAVE_RUN, False, 1),
        (Fault.LATE, Verdict.MAY_HAVE_RUN, False, 1),
        (Fault.REFUSE, Verdict.NOT_RUN, False, 0),
        (Fault.DOUBLE, Verdict.RAN, True, 1),
    ],
)
@pytest_twisted.ensureDeferred
async def test_each_fault_gets_the_correct_verdict(
    harness, fault: Fault, verdict: Verdict, complete: bool, runs: int
) -> None:
    standin, _ = await harness.open(slots=2)
    response = await harness.call(b"bad", timeout_s=0.2, x_fault=fault.value.encode())
    assert (response.result.verdict, response.result.complete) == (verdict, complete)
    assert standin.executions[b"bad"] == runs
    for i in range(4):
        good = await harness.call(b"good%d" % i)
        assert good.result.complete
        assert good.body == make_body(b"good%d" % i, 256)
    assert standin.queue.running == 0


@pytest.mark.parametrize(
    ("rule", "expected"),
    [
        (BadRule(kind=BadKind.FAIL), [500, 500, 500]),
        (BadRule(kind=BadKind.FAIL, after_calls=2), [200, 200, 500]),
        (BadRule(kind=BadKind.FAIL, after_s=60), [200, 200, 200]),
        (BadRule(kind=BadKind.FAIL, path_prefix="/b"), [200, 500, 200]),
        (BadRule(kind=BadKind.FAIL, share=0), [200, 200, 200]),
        (BadRule(kind=BadKind.FAIL, min_running=1), [200, 200, 200]),
    ],
)
@pytest_twisted.ensureDeferred
async def test_a_bad_version_fails_as_its_rule_says(harness, rule: BadRule, expected: list) -> None:
    await harness.open(switches=Switches(rules=(rule,)))
    responses = [await harness.call(b"1", target) for target in (b"/a", b"/b", b"/c")]
    assert [response.result.status for response in responses] == expected


@pytest_twisted.ensureDeferred
async def test_a_version_that_is_bad_under_load_fails_only_then(harness) -> None:
    rule = BadRule(kind=BadKind.FAIL, min_running=2)
    await harness.open(switches=Switches(rules=(rule,), work_ms=30))
    results = [await response.done for response in [harness.send(b"%d" % i) for i in range(4)]]
    assert [result.status for result in results] == [200, 200, 500, 500]


@pytest_twisted.ensureDeferred
async def test_health_and_load_lag_or_mislead(harness) -> None:
    standin, _ = await harness.open()
    standin.set_switches(Switches(rules=(BadRule(kind=BadKind.FAIL),)))
    await harness.call(b"1")
    assert (await harness.call(target=b"/health", method=b"GET")).result.status == 500
    standin.set_switches(Switches(misleading_health=True))
    assert (await harness.call(target=b"/health", method=b"GET")).result.status == 200
    standin.set_switches(Switches(load_lag_ms=60_000, work_ms=60_000))
    busy = harness.send(b"2")
    await wait_until(lambda: standin.queue.running == 1)
    lagging = await harness.call(target=b"/load", method=b"GET")
    assert msgspec.json.decode(lagging.body)["running"] == 0
    standin.set_switches(Switches(load_factor=7))
    wrong = await harness.call(target=b"/load", method=b"GET")
    assert msgspec.json.decode(wrong.body)["running"] == 7
    busy.attempt.cancel()


@pytest_twisted.ensureDeferred
async def test_switches_and_counts_go_over_http(harness) -> None:
    await harness.open()
    body = b'{"work_ms": 1, "rules": [{"kind": "fail", "status": 501}]}'
    changed = await harness.call(target=b"/standin/switches", method=b"PUT", body=body)
    assert changed.result.status == 204
    assert (await harness.call(b"1")).result.status == 501
    counts = await harness.call(target=b"/standin/counts", method=b"GET")
    assert msgspec.json.decode(counts.body)["executions"] == 1
    bad = await harness.call(target=b"/standin/switches", method=b"PUT", body=b'{"no": 1}')
    assert bad.result.status == 400


@pytest_twisted.ensureDeferred
async def test_an_upstream_announces_itself_until_it_leaves(harness) -> None:
    class Node:
        def __init__(self) -> None:
            self.requests = []

        def handle(self, call) -> None:
            self.requests.append((call.method, call.target, call.take_body()))
            call.respond(204, [])

    node = Node()
    server = CallServer(node)
    harness.cleanups.append(server.stop_now)
    address = await server.listen("127.0.0.1", 0)
    standin, _ = await harness.open(node_host=address.host, node_port=address.port, service="s")
    await wait_until(lambda: len(node.requests) == 1)
    method, target, body = node.requests[0]
    assert (method, target) == (b"PUT", b"/upstream/announcement")
    announced = msgspec.json.decode(body)
    assert (announced["service"], announced["port"]) == ("s", standin.address.port)
    await standin.drain(asyncio.get_event_loop().time())
    await wait_until(lambda: len(node.requests) == 2)
    assert node.requests[1][0] == b"DELETE"


FAST_DETECTION = ClientLimits(stalled_after_s=0.3, probe_timeout_s=0.3)


@pytest_twisted.ensureDeferred
async def test_silent_connections_are_found_by_comparison_and_replaced(harness) -> None:
    standin, pool = await harness.open(with_relay=True, limits=FAST_DETECTION)
    pool.warm(6)
    await wait_until(lambda: standin.relay_connections == 6)
    await harness.call(b"warm")
    old = set(pool.connections)
    assert standin.silence_connections() == 6
    interrupted = [harness.send(b"caught%d" % i) for i in range(3)]
    results = [await response.done for response in interrupted]
    assert {result.verdict for result in results} == {Verdict.MAY_HAVE_RUN}
    # Their deadline is 20 s away, so the comparison of probes has found them.
    assert all(result.error.name == "UPSTREAM_LOST" for result in results)
    for i in range(10):
        assert (await harness.call(b"new%d" % i)).result.complete
    await wait_until(lambda: not old & pool.connections)


@pytest_twisted.ensureDeferred
async def test_a_slow_upstream_is_not_taken_for_a_silent_one(harness) -> None:
    standin, pool = await harness.open(limits=FAST_DETECTION, switches=Switches(work_ms=1500))
    pool.warm(4)
    await wait_until(lambda: pool.idle_connections == 4)
    slow = [harness.send(b"slow%d" % i) for i in range(2)]
    for response in slow:
        result = await response.done
        assert result.complete
    assert standin.counts.ran_twice == 0


@pytest_twisted.ensureDeferred
async def test_a_timeout_makes_older_idle_connections_distrusted(harness) -> None:
    limits = ClientLimits(stalled_after_s=60, probe_timeout_s=0.2)
    standin, pool = await harness.open(with_relay=True, limits=limits, size=10)
    pool.warm(5)
    await wait_until(lambda: standin.relay_connections == 5)
    assert standin.silence_connections() == 5
    result = await harness.send(b"1", timeout_s=0.2).done
    assert result.verdict is Verdict.MAY_HAVE_RUN
    for i in range(5):
        response = await harness.call(b"new%d" % i, timeout_s=5)
        assert response.result.complete
