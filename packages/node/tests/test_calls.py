import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from random import Random

import pytest
import pytest_twisted
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.client import ResponseFailed

from corianderwall.httpflow.server import CallServer
from corianderwall.model.clock import SystemClock
from corianderwall.model.endpoint import Address, Endpoint, EndpointState, Locality
from corianderwall.model.errors import ErrorCode
from corianderwall.model.resource import EMPTY_SNAPSHOT, Route, Service, Snapshot, VersionShare
from corianderwall.node.admission import AdmissionController
from corianderwall.node.callcontext import CallContext
from corianderwall.node.crashdetector import CHECK_DELAY_S
from corianderwall.node.crashmonitor import CrashMonitor, LossReport
from corianderwall.node.dispatcher import Dispatcher
from corianderwall.node.metrics import CallMetrics, Metrics
from corianderwall.node.pools import UpstreamPools
from corianderwall.node.suspectexchange import SuspectExchange, SuspectNotice
from corianderwall.standins.scripted import ReceivedRequest, ScriptedUpstream
from corianderwall.standins.upstream import UpstreamStandin
from corianderwall.standins.upstream_settings import Switches, UpstreamSettings
from corianderwall.traffic.balancer import Balancer
from corianderwall.traffic.lease_holder import LeaseHolder
from corianderwall.traffic.lease_issuer import LeaseIssuer
from corianderwall.traffic.retries import RetryPolicy
from corianderwall.traffic.shares import SubscriberShares
from corianderwall.traffic.suspects import QUARANTINE_CRASHES, Suspects

HERE = Locality(region="midlands", zone="midlands-a")
MAX_RUNNING_CALLS = 50
SNAPSHOT = Snapshot(
    version=1,
    services=(
        Service(
            name="placements",
            versions=("v1",),
            split=(VersionShare(version="v1", permille=1000),),
        ),
    ),
    routes=(Route(name="all", service="placements", timeout_ms=2000),),
)


class NoMoves:
    """Has no running move and records the outcomes reported to it."""

    def __init__(self):
        self.outcomes = []

    def choose_version(self, service, sticky=""):
        return ""

    def record(self, outcome):
        self.outcomes.append(outcome)

    def list_ejected(self, service):
        return frozenset()


class Host:
    """The call path of one node on real sockets, with an upstream of its own."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.addresses: dict[str, Address] = {}
        clock, random, pools = SystemClock(), Random(1), UpstreamPools()
        self.moves = NoMoves()
        self.metrics = CallMetrics()
        self.balancer = Balancer(HERE, random)
        self.admission = AdmissionController(
            loop=asyncio.get_event_loop(),
            clock=clock,
            pools=pools,
            issuer=LeaseIssuer(name, 1, HERE.zone, 0.0),
            random=random,
            shares=SubscriberShares(EMPTY_SNAPSHOT),
            send=lambda outgoing: None,
        )
        self.suspects = Suspects()
        self.hosts: dict[str, Host] = {name: self}
        self.exchange = SuspectExchange(self.suspects, self.list_peers, random)
        self.crashes = CrashMonitor(
            node=name,
            clock=clock,
            suspects=self.suspects,
            exchange=self.exchange,
            admission=self.admission,
            send=self.deliver,
        )
        context = CallContext(
            node=name,
            clock=clock,
            random=random,
            balancer=self.balancer,
            leases=LeaseHolder(name, 1, HERE.zone),
            pools=pools,
            admission=self.admission,
            moves=self.moves,
            metrics=self.metrics,
            retries=RetryPolicy(random),
            suspects=self.suspects,
            crashes=self.crashes,
            call_later=asyncio.get_event_loop().call_later,
            find_call_address=self.addresses.get,
            wake_share_timer=lambda: None,
        )
        self.dispatcher = Dispatcher(
            context,
            default_timeout_s=2.0,
            max_running_calls=MAX_RUNNING_CALLS,
            count_running=lambda: self.server.running_calls,
        )
        self.server = CallServer(self.dispatcher)
        self.upstream = UpstreamStandin(UpstreamSettings(slots=2, queue=2))

    async def start(self) -> None:
        self.address = await self.server.listen("127.0.0.1", 0)
        await self.upstream.start()
        self.endpoint = Endpoint(
            name=f"{self.name}.1",
            service="placements",
            version="v1",
            node=self.name,
            locality=HERE,
            address=self.upstream.address,
            slots=2,
            connections=20,
        )
        self.admission.set_endpoint(self.endpoint, time.monotonic())

    def learn(self, other: "Host") -> None:
        self.addresses[other.name] = other.address
        self.hosts[other.name] = other
        other.hosts[self.name] = self
        self.balancer.upsert(other.endpoint, time.monotonic(), 10**9)

    def list_peers(self) -> list[str]:
        return [name for name in self.hosts if name != self.name]

    def deliver(self, messages) -> None:
        """Pass messages about crashes to the other hosts at once."""
        for outgoing in messages:
            peer = self.hosts[outgoing.peer]
            match outgoing.message:
                case LossReport():
                    peer.crashes.receive_report(outgoing.message)
                case SuspectNotice():
                    peer.exchange.receive_notice(outgoing.message, time.monotonic())

    async def crash_upstream(self) -> None:
        """Let the upstream end while it runs calls, and start again at the same address."""
        self.upstream.stop()
        await deferLater(reactor, 5 * CHECK_DELAY_S)
        address = self.upstream.address
        self.upstream = UpstreamStandin(UpstreamSettings(slots=2, queue=2, port=address.port))
        await self.upstream.start()
        self.crashes.confirm_endpoint()

    def stop(self) -> None:
        self.server.stop_now()
        self.upstream.stop()

    async def call(self, method="GET", path="/x", **options):
        return await treq.request(
            method, f"http://{self.address}{path}", persistent=False, **options
        )


@pytest_twisted.async_yield_fixture
async def entry() -> AsyncIterator[Host]:
    host = Host("entry")
    await host.start()
    host.dispatcher.install(SNAPSHOT)
    yield host
    host.stop()


@pytest_twisted.async_yield_fixture
async def owner(entry: Host) -> AsyncIterator[Host]:
    host = Host("owner")
    await host.start()
    entry.learn(host)
    yield host
    host.stop()


async def expect_error(response, status: int, code: ErrorCode, effect: str) -> None:
    body = await response.json()
    assert (response.code, body["code"], body["effect"]) == (status, code.value, effect)


@pytest_twisted.ensureDeferred
async def test_a_call_reaches_the_endpoint_beside_its_entry(entry):
    entry.learn(entry)
    response = await entry.call(headers={"x-call-id": "own"})
    assert (response.code, await response.content()) == (200, b"own." * 64)
    assert entry.upstream.executions[b"own"] == 1


@pytest_twisted.ensureDeferred
async def test_a_call_without_a_lease_goes_through_the_owner(entry, owner):
    response = await entry.call(headers={"x-call-id": "remote"})
    await response.content()
    assert response.code == 200
    assert owner.upstream.executions[b"remote"] == 1
    assert owner.admission.running == 0


@pytest_twisted.ensureDeferred
async def test_a_body_of_megabytes_passes_both_hops(entry, owner):
    headers = {"x-call-id": "big"}
    response = await entry.call(
        "POST", "/bytes/3000000", headers=headers, data=b"abcdefgh" * 400_000
    )
    assert response.code == 200
    assert await response.content() == b"big." * 750_000


@pytest_twisted.ensureDeferred
async def test_a_call_whose_endpoint_is_gone_is_retried_elsewhere(entry, owner):
    owner.admission.clear_endpoint()
    gone = await entry.call()
    await expect_error(gone, 503, ErrorCode.NO_ENDPOINT, "none")
    entry.learn(entry)
    response = await entry.call()
    assert response.code == 200


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("fault", ["close-run", "hang-run"])
async def test_a_lost_response_of_an_unsafe_call_is_reported_and_it_runs_once(entry, owner, fault):
    headers = {"x-call-id": "once", "x-fault": fault}
    response = await entry.call("POST", headers=headers, data=b"placement")
    body = await response.json()
    assert response.code in (502, 504)
    assert body["effect"] == "unknown"
    assert response.headers.getRawHeaders("x-verdict") == ["may_have_run"]
    assert owner.upstream.executions[b"once"] == 1


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("at", ["entry", "owner"])
@pytest.mark.parametrize("statement", ["x-not-run: 1", "x-verdict: not_run"])
@pytest.mark.parametrize("status", [200, 429, 500, 503])
async def test_a_response_of_an_upstream_that_ran_the_call_never_says_that_it_has_not(
    entry, owner, at, statement, status
):
    """Guards against work that runs twice, as a response is taken for a node's own refusal."""

    async def respond(request: ReceivedRequest) -> bytes:
        head = f"HTTP/1.1 {status} Status\r\n{statement}\r\ncontent-length: 3\r\n\r\n"
        return head.encode() + b"ran"

    host = entry if at == "entry" else owner
    entry.learn(host)
    for other in {entry, owner} - {host}:
        entry.balancer.remove(other.endpoint.name)
    host.upstream.stop()
    upstream = ScriptedUpstream(respond, port=host.upstream.address.port)
    await Deferred.fromFuture(asyncio.ensure_future(upstream.start()))
    response = await entry.call("POST", headers={"x-call-id": "once"}, data=b"placement")
    body = await response.content()
    if status == 503 and statement.startswith("x-not-run"):
        # This is how an upstream refuses a call before it runs.
        assert response.headers.getRawHeaders("x-not-run") == ["1"]
    else:
        assert (response.code, body) == (status, b"ran")
        assert not response.headers.hasHeader("x-not-run")
        assert not response.headers.hasHeader("x-verdict")
        assert len(upstream.requests) == 1
    upstream.stop()


@pytest_twisted.ensureDeferred
async def test_an_idempotent_call_with_a_lost_response_is_retried(entry, owner):
    headers = {"x-call-id": "again", "x-fault": "close-run"}
    response = await entry.call(headers=headers)
    await response.content()
    assert response.code == 502
    assert owner.upstream.executions[b"again"] == 3
    metrics = Metrics()
    entry.metrics.export(metrics)
    labels = {"service": "placements", "decision": "retried"}
    assert metrics.retries.get(labels) == 2
    attempts = {"service": "placements", "verdict": "may_have_run", "way": "owner"}
    assert metrics.attempts.get(attempts) == 3


@pytest_twisted.ensureDeferred
async def test_a_truncated_response_never_looks_complete(entry, owner):
    response = await entry.call(path="/bytes/400000", headers={"x-fault": "truncate"})
    assert response.code == 200
    with pytest.raises(ResponseFailed):
        await response.content()


@pytest_twisted.ensureDeferred
async def test_a_lost_owner_does_not_count_against_the_version(entry, owner):
    owner.upstream.set_switches(Switches(work_ms=10_000))
    call = start(entry.call("POST", data=b"x"))
    while owner.upstream.queue.running == 0:
        await deferLater(reactor, 0.01)
    owner.server.stop_now()
    assert (await call).code == 502
    assert entry.moves.outcomes == []


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("fault", ["close-run", "truncate"])
async def test_a_response_broken_off_by_the_upstream_counts_against_the_version(
    entry, owner, fault
):
    response = await entry.call("POST", "/bytes/400000", headers={"x-fault": fault}, data=b"x")
    with contextlib.suppress(ResponseFailed):
        await response.content()
    assert [outcome.is_failure for outcome in entry.moves.outcomes] == [True]


@pytest_twisted.ensureDeferred
async def test_a_refusal_is_returned_at_once_with_a_retry_after_header(entry, owner):
    headers = {"x-call-id": "refused", "x-fault": "refuse"}
    response = await entry.call("POST", headers=headers, data=b"x")
    await expect_error(response, 503, ErrorCode.OVERLOADED, "none")
    assert response.headers.getRawHeaders("x-not-run") == ["1"]
    assert response.headers.getRawHeaders("x-retry-final") == ["1"]
    assert int(response.headers.getRawHeaders("retry-after")[0]) >= 1
    assert owner.upstream.executions[b"refused"] == 0


@pytest_twisted.ensureDeferred
async def test_the_deadline_of_the_caller_ends_the_call_at_both_hops(entry, owner):
    owner.upstream.set_switches(Switches(work_ms=10_000))
    deadline = int((time.time() + 0.2) * 1000)
    response = await entry.call(headers={"x-deadline-unix-ms": str(deadline)})
    await expect_error(response, 504, ErrorCode.DEADLINE_EXCEEDED, "unknown")
    await deferLater(reactor, 0.1)
    assert owner.admission.running == 0
    assert owner.upstream.queue.running == 0


@pytest_twisted.ensureDeferred
async def test_a_call_is_cancelled_when_its_caller_disconnects(entry, owner):
    owner.upstream.set_switches(Switches(work_ms=10_000))
    _, writer = await as_deferred(asyncio.open_connection(entry.address.host, entry.address.port))
    writer.write(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
    while owner.upstream.queue.running == 0:
        await deferLater(reactor, 0.01)
    writer.transport.abort()
    while owner.upstream.queue.running:
        await deferLater(reactor, 0.01)
    assert owner.admission.running == 0


@pytest_twisted.ensureDeferred
async def test_a_full_queue_refuses_before_any_work(entry, owner):
    owner.upstream.set_switches(Switches(work_ms=300))
    calls = [entry.call("POST", data=b"x") for _ in range(40)]
    responses = [await call for call in [start(call) for call in calls]]
    statuses = [response.code for response in responses]
    refused = statuses.count(503)
    assert set(statuses) == {200, 503}
    assert owner.upstream.counts.executions == len(statuses) - refused


@pytest_twisted.ensureDeferred
async def test_a_drained_endpoint_refuses_and_serves_again_once_it_is_ready(entry, owner):
    owner.admission.begin_drain(time.monotonic(), time.monotonic() + 60)
    response = await entry.call("POST", data=b"x")
    await expect_error(response, 503, ErrorCode.NO_ENDPOINT, "none")
    owner.admission.set_endpoint(owner.endpoint, time.monotonic())
    assert (await entry.call()).code == 200


@pytest_twisted.ensureDeferred
async def test_calls_beyond_the_limit_of_the_node_are_refused(entry, owner):
    owner.upstream.set_switches(Switches(work_ms=300))
    started = [start(entry.call("POST", data=b"x")) for _ in range(MAX_RUNNING_CALLS + 10)]
    sentences = [(await (await call).content()).decode() for call in started]
    assert any("this node serves too many calls" in sentence for sentence in sentences)
    assert (await entry.call()).code == 200


@pytest_twisted.ensureDeferred
async def test_a_node_without_configuration_refuses_calls(owner):
    response = await owner.call()
    await expect_error(response, 503, ErrorCode.NOT_READY, "none")


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    ("headers", "code"),
    [
        ({"x-deadline-unix-ms": "soon"}, ErrorCode.MALFORMED_REQUEST),
        ({"x-call-id": "x" * 200}, ErrorCode.MALFORMED_REQUEST),
        ({"x-subscriber": "caf\u00e9".encode()}, ErrorCode.NO_ENDPOINT),
    ],
)
async def test_a_malformed_head_is_refused_with_its_code(entry, headers, code):
    response = await entry.call(headers=headers)
    assert (await response.json())["code"] == code.value


@pytest_twisted.ensureDeferred
async def test_a_forwarded_call_for_an_unknown_endpoint_is_not_run(owner):
    headers = {"x-hop": "owner", "x-endpoint": "other.1"}
    response = await owner.call(headers=headers)
    await expect_error(response, 503, ErrorCode.NO_ENDPOINT, "none")
    assert response.headers.getRawHeaders("x-retry-final") is None
    assert owner.upstream.counts.executions == 0


async def crash_under(entry, owner, headers) -> None:
    """Let the owner's upstream crash while it runs a call."""
    owner.upstream.set_switches(Switches(work_ms=10_000))
    call = start(entry.call("POST", headers=headers, data=b"x"))
    while owner.upstream.queue.running == 0:
        await deferLater(reactor, 0.01)
    await owner.crash_upstream()
    await expect_error(await call, 502, ErrorCode.UPSTREAM_LOST, "unknown")


# Guards against a request that ends one endpoint after the other, as nothing remembers it.
@pytest_twisted.ensureDeferred
async def test_a_request_that_has_crashed_three_endpoints_is_refused_at_every_node(entry, owner):
    for number in range(QUARANTINE_CRASHES):
        await crash_under(entry, owner, {"x-call-id": f"crash{number}"})
    owner.dispatcher.install(SNAPSHOT)
    for node in (entry, owner):
        response = await node.call("POST", headers={"x-call-id": "again"}, data=b"x")
        await expect_error(response, 503, ErrorCode.QUARANTINED, "none")
        assert response.headers.getRawHeaders("x-not-run") == ["1"]
        assert int(response.headers.getRawHeaders("retry-after")[0]) >= 1
    assert owner.upstream.counts.executions == 0
    headers = {"x-subscriber": "other"}
    assert (await entry.call("POST", headers=headers, data=b"x")).code == 200
    assert (await entry.call("POST", data=b"y")).code == 200


@pytest_twisted.ensureDeferred
async def test_a_call_lost_by_an_endpoint_that_goes_on_makes_no_suspect(entry, owner):
    headers = {"x-call-id": "lost", "x-fault": "close-run"}
    await entry.call("POST", headers=headers, data=b"x")
    await deferLater(reactor, 5 * CHECK_DELAY_S)
    assert entry.suspects.is_empty
    assert owner.suspects.is_empty


@pytest_twisted.ensureDeferred
async def test_a_call_cut_by_an_upstream_that_stops_makes_no_suspect(entry, owner):
    owner.upstream.set_switches(Switches(work_ms=10_000))
    call = start(entry.call("POST", data=b"x"))
    while owner.upstream.queue.running == 0:
        await deferLater(reactor, 0.01)
    draining = replace(owner.endpoint, state=EndpointState.DRAINING)
    owner.admission.set_endpoint(draining, time.monotonic())
    await owner.crash_upstream()
    assert (await call).code == 502
    assert entry.suspects.is_empty


@pytest_twisted.ensureDeferred
async def test_a_complete_response_clears_a_suspect_at_every_node(entry, owner):
    await crash_under(entry, owner, {"x-call-id": "crash"})
    fingerprint = entry.suspects.list_records(0.0)[0].fingerprint
    assert owner.suspects.count_crashes(fingerprint) == 1
    assert (await entry.call("POST", headers={"x-call-id": "again"}, data=b"x")).code == 200
    entry.deliver(entry.exchange.tick(time.monotonic()))
    assert entry.suspects.count_crashes(fingerprint) == 0
    assert owner.suspects.count_crashes(fingerprint) == 0


def as_deferred(coroutine):
    return pytest_twisted.defer.Deferred.fromFuture(asyncio.ensure_future(coroutine))


def start(coroutine):
    return pytest_twisted.defer.Deferred.fromCoroutine(coroutine)
