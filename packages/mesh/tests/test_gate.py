import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from corianderwall.mesh import gate as gate_module
from corianderwall.mesh.endpoint import Announcement
from corianderwall.mesh.exchange import MAX_BODY_BYTES
from corianderwall.mesh.gate import EndpointGate, RunningCall
from corianderwall.mesh.messages import (
    CallMetadata,
    EndpointRecord,
    EndpointState,
    Refusal,
)
from corianderwall.mesh.owner import ForwardedRequest, OwnerResponse
from corianderwall.mesh.responsememory import ResponseMemory
from corianderwall.mesh.settings import Bounds, HeaderNames, HostSettings
from corianderwall.mesh.uplink import Uplink
from corianderwall.model.endpoint import Address
from corianderwall.model.resource import Service
from corianderwall.standins.scripted import (
    Endless,
    ReceivedRequest,
    ScriptedUpstream,
    make_response,
)
from corianderwall.traffic import suspects as suspects_module
from corianderwall.traffic.suspects import QUARANTINE_CRASHES, SuspectRecord, Suspects

NAMES = HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    expected_instance=b"expected-instance",
    instance_id=b"instance-id",
    not_run=b"not-executed",
    caller=b"caller-service",
    limit=b"server-limit",
    leaving=b"server-leaving",
)


def make_settings(endpoint: Address, *sections: str) -> HostSettings:
    here = Address(host="127.0.0.1", port=0)
    return HostSettings(
        name="n1",
        zone="a",
        service="s",
        outbound=here,
        inbound=here,
        readiness=here,
        announcements=here,
        metrics=here,
        endpoint=endpoint,
        bounds=Bounds(heartbeat_s=0.01),
        sections=frozenset(sections),
    )


def make_announcement(address: Address, **fields: Any) -> Announcement:
    values: dict[str, Any] = {
        "id": "i-1",
        "service": "s",
        "version": "v1",
        "zone": "a",
        "address": address,
        "slots": 1,
        "draining": False,
        "warm_after_s": 0.0,
        "born_unix_ms": 100,
        "sequence": 1,
    }
    return Announcement(**(values | fields))


def make_metadata(**fields: Any) -> CallMetadata:
    values: dict[str, Any] = {
        "endpoint": "i-1",
        "left_ms": 2000.0,
        "due_ms": 1000.0,
        "priority": 1,
        "caller": "s",
        "nested": False,
        "is_retry": False,
        "may_wait": True,
        "idempotent": False,
        "route": "r",
    }
    return CallMetadata(**(values | fields))


def make_request(name: str = "q1") -> ForwardedRequest:
    headers = [(b"host", b"h"), (b"request-id", name.encode())]
    return ForwardedRequest(name.encode(), b"GET", b"/a/b?c=d", headers)


def serve(gate: EndpointGate, name: str = "q1", **fields: Any) -> "asyncio.Future[OwnerResponse]":
    """Serve a call as an entry does; cancelling the future cancels the call."""
    serving = Deferred.fromCoroutine(gate.serve(make_metadata(**fields), make_request(name)))
    return serving.asFuture(asyncio.get_running_loop())


class Setup:
    """A gate beside a scripted endpoint."""

    def __init__(
        self, respond: Callable[[ReceivedRequest], Awaitable[bytes | Endless | None]]
    ) -> None:
        self.upstream = ScriptedUpstream(respond)
        self.records: list[EndpointRecord] = []
        self.suspects = Suspects()
        self.memory = ResponseMemory()
        self.shared: list[tuple[SuspectRecord, ...]] = []

    async def start(self, **fields: Any) -> None:
        await self.upstream.start()
        self.address = Address(host="127.0.0.1", port=self.upstream.port)
        self.gate = EndpointGate(
            make_settings(self.address),
            NAMES,
            self.records.append,
            lambda *_: None,
            Uplink(),
            self.suspects,
            self.shared.append,
            memory=self.memory,
        )
        self.gate.synced = True
        assert self.gate.endpoint.handle_announcement(make_announcement(self.address, **fields))

    async def serve(self, name: str = "q1", **fields: Any) -> OwnerResponse:
        return await serve(self.gate, name, **fields)


def run_scenario(
    respond: Callable[[ReceivedRequest], Awaitable[bytes | Endless | None]],
    scenario: Callable[[Setup], Awaitable[None]],
    **fields: Any,
) -> Deferred[None]:
    async def run() -> None:
        setup = Setup(respond)
        await setup.start(**fields)
        await scenario(setup)
        setup.upstream.stop()

    return Deferred.fromFuture(asyncio.ensure_future(run()))


async def respond_ok(request: ReceivedRequest) -> bytes:
    return make_response(request)


async def keep_silent(request: ReceivedRequest) -> None:
    return None


def test_a_call_carries_the_time_left_the_instance_and_the_caller() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        reply = await setup.serve()
        assert reply.metadata.ran is True
        assert reply.response is not None and reply.response.body == b"ok"
        (seen,) = setup.upstream.requests
        assert seen.target == "/a/b?c=d"
        assert seen.headers["expected-instance"] == "i-1"
        assert seen.headers["caller-service"] == "s"
        assert 1000 < int(seen.headers["deadline-ms"]) <= 2000

    return run_scenario(respond_ok, scenario)


def test_the_endpoint_never_gets_more_than_it_has_slots_for() -> Deferred[None]:
    async def respond(request: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.01)
        return make_response(request)

    async def scenario(setup: Setup) -> None:
        responses = await asyncio.gather(*(setup.serve(f"q{n}") for n in range(10)))
        assert all(reply.metadata.ran for reply in responses)
        assert setup.upstream.max_concurrent == 2

    return run_scenario(respond, scenario, slots=2)


def test_connections_are_used_again() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        for number in range(5):
            await setup.serve(f"q{number}")
        assert setup.upstream.accepted_connections == 1

    return run_scenario(respond_ok, scenario)


@pytest.mark.parametrize("leave", [True, False])
def test_after_an_acknowledged_leave_nothing_is_sent(leave: bool) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        waiting = [asyncio.ensure_future(setup.serve(f"w{n}")) for n in range(3)]
        await asyncio.sleep(0.01)
        if leave:
            setup.gate.endpoint.handle_leave("i-1", None)
        else:
            setup.gate.endpoint.handle_announcement(
                make_announcement(setup.address, draining=True, sequence=2)
            )
        refused = await setup.serve("late")
        assert refused.metadata.refusal is Refusal.LEAVING
        done, running = await asyncio.wait(waiting, timeout=0.05)
        assert [task.result().metadata.refusal for task in done] == [Refusal.LEAVING] * 2
        assert len(setup.upstream.requests) == 1
        for task in running:
            task.cancel()

    return run_scenario(keep_silent, scenario)


def test_a_late_announcement_of_an_earlier_start_changes_nothing() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        newer = make_announcement(setup.address, id="i-2", born_unix_ms=200)
        setup.gate.endpoint.handle_announcement(newer)
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=9))
        setup.gate.endpoint.handle_leave("i-1", 100)
        assert setup.gate.record is not None
        assert setup.gate.record.id == "i-2"
        assert setup.gate.record.state is EndpointState.READY

    return run_scenario(respond_ok, scenario)


def test_a_late_announcement_of_ready_does_not_undo_a_drain() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.gate.endpoint.handle_announcement(
            make_announcement(setup.address, draining=True, sequence=5)
        )
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=4))
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=6))
        assert setup.gate.record is not None
        assert setup.gate.record.state is EndpointState.DRAINING

    return run_scenario(respond_ok, scenario)


def test_an_announcement_for_another_address_is_not_acknowledged() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        elsewhere = Address(host="127.0.0.1", port=1)
        assert not setup.gate.endpoint.handle_announcement(
            make_announcement(elsewhere, id="i-9", born_unix_ms=900)
        )
        assert setup.gate.record is not None and setup.gate.record.id == "i-1"

    return run_scenario(respond_ok, scenario)


# Guards against a promise of 'not run' for a request that runs, by an earlier refusal that the
# endpoint writes once more on a kept connection.
@pytest.mark.parametrize("status", ["503 Busy", "421 Misdirected Request", "429 Too Many Requests"])
@pytest.mark.parametrize("names_id", [True, False])
def test_a_refusal_that_is_written_again_says_nothing_of_the_next_request(
    status: str, names_id: bool
) -> Deferred[None]:
    refusals: list[bytes] = []
    ran: list[str] = []

    async def respond(request: ReceivedRequest) -> bytes:
        identity = request.headers["request-id"]
        if identity == "refused":
            line = f"Request-Id: {identity}\r\n" if names_id else ""
            mark = "" if status.startswith("421") else "Not-Executed: 1\r\n"
            refusals.append(f"HTTP/1.1 {status}\r\n{line}{mark}Content-Length: 0\r\n\r\n".encode())
            return refusals[0]
        ran.append(identity)
        # The endpoint runs each request, whatever it writes first.
        return b"".join(refusals) + make_response(request)

    async def scenario(setup: Setup) -> None:
        assert (await setup.serve("first")).metadata.ran is True
        await setup.serve("refused")
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=2))
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=3))
        await asyncio.sleep(0.02)
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=4))
        for number in range(3):
            reply = await setup.serve(f"next-{number}")
            assert reply.metadata.ran is not False or f"next-{number}" not in ran

    return run_scenario(respond, scenario)


def test_a_success_that_says_that_it_has_not_run_is_a_response() -> Deferred[None]:
    async def respond(request: ReceivedRequest) -> bytes:
        return make_response(request, extra_headers="Not-Executed: 1\r\n")

    async def scenario(setup: Setup) -> None:
        reply = await setup.serve()
        assert (reply.metadata.ran, reply.metadata.refusal) == (True, None)

    return run_scenario(respond, scenario)


def test_a_request_that_was_refused_is_sent_again_on_another_connection() -> Deferred[None]:
    seen: list[str] = []

    async def shed(request: ReceivedRequest) -> bytes:
        seen.append(request.headers["request-id"])
        busy = seen.count("busy") == 1 and seen[-1] == "busy"
        return make_response(
            request,
            "503 Service Unavailable" if busy else "200 OK",
            extra_headers="Not-Executed: 1\r\n" if busy else "",
        )

    async def scenario(setup: Setup) -> None:
        for name in ("q1", "busy", "q2"):
            await setup.serve(name)
        # Refusals are frequent in an overload, and new connections hold slots for a moment.
        assert setup.upstream.accepted_connections == 1
        assert (await setup.serve("busy")).metadata.ran is True
        assert setup.upstream.accepted_connections == 2

    return run_scenario(shed, scenario)


# Guards against a response to another request, in which an endpoint that names ids has none.
def test_a_response_without_an_id_is_lost_once_the_endpoint_has_named_one() -> Deferred[None]:
    async def respond(request: ReceivedRequest) -> bytes:
        if request.headers["request-id"] in ("q0", "q2"):
            return b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
        return make_response(request)

    async def scenario(setup: Setup) -> None:
        outcomes = [(await setup.serve(f"q{number}")).metadata.ran for number in range(4)]
        assert outcomes == [True, True, None, True]

    return run_scenario(respond, scenario)


def test_a_shed_call_has_not_run_and_counts_as_an_arrival() -> Deferred[None]:
    async def shed(request: ReceivedRequest) -> bytes:
        return make_response(
            request, "503 Service Unavailable", extra_headers="Not-Executed: 1\r\n"
        )

    async def scenario(setup: Setup) -> None:
        metadata = (await setup.serve()).metadata
        assert (metadata.ran, metadata.refusal, metadata.reached) == (False, Refusal.SHED, True)

    return run_scenario(shed, scenario)


def test_another_endpoint_at_the_address_stops_the_use_of_it() -> Deferred[None]:
    async def misdirected(request: ReceivedRequest) -> bytes:
        return make_response(request, "421 Misdirected Request")

    async def scenario(setup: Setup) -> None:
        assert (await setup.serve()).metadata.ran is False
        assert (await setup.serve("q2")).metadata.refusal is Refusal.DOWN
        assert len(setup.upstream.requests) == 1

    return run_scenario(misdirected, scenario)


def test_a_lost_response_leaves_open_whether_the_call_ran() -> Deferred[None]:
    async def cut(request: ReceivedRequest) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"

    async def scenario(setup: Setup) -> None:
        task = asyncio.ensure_future(setup.serve(left_ms=100.0))
        reply = await task
        assert reply.metadata.ran is None
        assert reply.response is None

    return run_scenario(cut, scenario)


def test_a_response_to_another_request_is_never_passed_on() -> Deferred[None]:
    async def foreign(request: ReceivedRequest) -> bytes:
        other = ReceivedRequest(request.target, {"request-id": "someone-else"})
        return make_response(other, body=b"not yours")

    async def scenario(setup: Setup) -> None:
        reply = await setup.serve()
        assert reply.response is None
        assert reply.metadata.ran is None

    return run_scenario(foreign, scenario)


def test_an_extra_response_closes_the_connection_and_reaches_nobody() -> Deferred[None]:
    async def double(request: ReceivedRequest) -> bytes:
        return make_response(request) + make_response(request, body=b"again")

    async def scenario(setup: Setup) -> None:
        first = await setup.serve("q1")
        second = await setup.serve("q2")
        assert first.response is not None and first.response.body == b"ok"
        assert second.response is not None and second.response.body == b"ok"
        assert setup.upstream.accepted_connections == 2

    return run_scenario(double, scenario)


def test_a_refused_connection_means_not_run_and_stops_new_calls() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.upstream.stop()
        metadata = (await setup.serve()).metadata
        assert (metadata.ran, metadata.refusal, metadata.reached) == (False, Refusal.DOWN, False)
        assert setup.records[-1].state is EndpointState.DOWN
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=2))
        assert setup.records[-1].state is EndpointState.READY

    return run_scenario(respond_ok, scenario)


def test_a_caller_that_leaves_closes_the_connection_and_frees_the_slot() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        task = asyncio.ensure_future(setup.serve())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.02)
        assert setup.upstream.open_connections == 0
        assert not setup.gate.queue.running

    return run_scenario(keep_silent, scenario)


def collect_lines(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, object]]]:
    """Return a list that collects the log lines of the gate."""
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        gate_module, "log_info", lambda message, **fields: lines.append((message, fields))
    )
    return lines


def test_a_waiting_caller_that_leaves_frees_its_place(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        running = asyncio.ensure_future(setup.serve("q1"))
        waiting = asyncio.ensure_future(setup.serve("q2"))
        await asyncio.sleep(0.01)
        lines = collect_lines(monkeypatch)
        waiting.cancel()
        await asyncio.sleep(0.01)
        assert setup.gate.queue.waiting == []
        running.cancel()
        await asyncio.sleep(0.01)
        given_up = [fields for message, fields in lines if message == "cancelled by the entry"]
        assert [(line["request"], line["phase"]) for line in given_up] == [
            ("q2", "waiting"),
            ("q1", "running"),
        ]

    return run_scenario(keep_silent, scenario)


def test_an_endpoint_silent_for_several_heartbeats_is_down() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        await asyncio.sleep(0.05)
        setup.gate.endpoint.check_liveness()
        assert setup.records[-1].state is EndpointState.DOWN

    return run_scenario(respond_ok, scenario)


def test_a_record_of_an_earlier_process_is_taken_over_with_a_newer_revision() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        known = setup.records[-1]
        gate = make_fresh_gate(setup)
        gate.synced = False
        refused = await serve(gate)
        assert refused.metadata.refusal is Refusal.UNKNOWN
        gate.synced = True
        gate.endpoint.adopt(known)
        assert setup.records[-1].supersedes(known)
        served = await serve(gate)
        assert served.metadata.ran is True

    return run_scenario(respond_ok, scenario)


def make_fresh_gate(
    setup: Setup, known: EndpointRecord | None = None, *sections: str
) -> EndpointGate:
    """Return the gate of a node that has just been restarted beside the endpoint of `setup`."""
    gate = EndpointGate(
        make_settings(setup.address, *sections),
        NAMES,
        setup.records.append,
        lambda *_: None,
        Uplink(),
        Suspects(),
        setup.shared.append,
        find_record=lambda name: known if known is not None and known.id == name else None,
    )
    gate.synced = True
    return gate


def test_a_leave_before_the_endpoint_is_known_is_honoured() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        known = setup.records[-1]
        for send in (
            lambda gate: gate.endpoint.adopt(known),
            lambda gate: gate.endpoint.handle_announcement(
                make_announcement(setup.address, sequence=9)
            ),
            lambda gate: gate.endpoint.merge_record(known),
        ):
            gate = make_fresh_gate(setup)
            gate.endpoint.handle_leave("i-1", None)
            send(gate)
            assert (await serve(gate)).metadata.refusal is Refusal.LEAVING
            assert setup.records[-1].state is EndpointState.GONE
            assert setup.records[-1].supersedes(known)
        # The leave does not apply to a later start of the endpoint with the same id.
        later = make_announcement(setup.address, born_unix_ms=int(time.time() * 1000) + 60_000)
        gate.endpoint.handle_announcement(later)
        assert (await serve(gate)).metadata.ran is True

    return run_scenario(respond_ok, scenario)


def test_a_leave_of_an_endpoint_that_peers_know_is_sent_to_them() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        known = setup.records[-1]
        gate = make_fresh_gate(setup, known)
        gate.endpoint.handle_leave("i-1", None)
        assert (setup.records[-1].id, setup.records[-1].state) == ("i-1", EndpointState.GONE)
        assert setup.records[-1].supersedes(known)

    return run_scenario(respond_ok, scenario)


def test_a_call_whose_id_extends_that_of_a_running_call_is_nested() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        first = asyncio.ensure_future(setup.serve("q1"))
        second = asyncio.ensure_future(setup.serve("q2", is_retry=True))
        await asyncio.sleep(0.01)
        assert setup.gate.find_parent(b"q1.x") == RunningCall(is_retry=False)
        assert setup.gate.find_parent(b"q2.x") == RunningCall(is_retry=True)
        assert setup.gate.find_parent(b"q3.x") is None
        assert setup.gate.find_parent(b"q1") is None
        first.cancel()
        second.cancel()
        await asyncio.sleep(0.01)
        assert setup.gate.find_parent(b"q1.x") is None

    return run_scenario(keep_silent, scenario, slots=2)


def test_a_new_start_under_the_same_id_ends_the_wait_for_the_former_one() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        running = asyncio.ensure_future(setup.serve("q1"))
        waiting = asyncio.ensure_future(setup.serve("q2"))
        await asyncio.sleep(0.01)
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, born_unix_ms=200))
        assert (await waiting).metadata.refusal is Refusal.UNKNOWN
        running.cancel()

    return run_scenario(keep_silent, scenario)


def test_a_waiting_call_is_refused_while_its_caller_can_still_retry() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        running = asyncio.ensure_future(setup.serve("q1", left_ms=60_000.0))
        await asyncio.sleep(0.01)
        # The second call could start within 0.3 s, but the first call never ends.
        setup.gate.queue.route_means_s["r"] = 0.2
        reply = await setup.serve("q2", left_ms=500.0, due_ms=500.0)
        assert reply.metadata.refusal is Refusal.LATE
        assert len(setup.upstream.requests) == 1
        running.cancel()

    return run_scenario(keep_silent, scenario)


def test_nothing_is_served_before_the_records_of_peers_have_arrived() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.gate.synced = False
        assert (await setup.serve()).metadata.refusal is Refusal.UNKNOWN
        assert setup.upstream.requests == []

    return run_scenario(respond_ok, scenario)


def test_a_leave_that_an_earlier_process_acknowledged_is_honoured(
    make_endpoint: Any,
) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        # A delayed announcement of the ready state arrives first.
        known = make_endpoint("i-1", born=100, revision=5000, state=EndpointState.DRAINING)
        setup.gate.endpoint.merge_record(make_endpoint("i-1", born=99, state=EndpointState.GONE))
        assert (await setup.serve()).metadata.ran is True
        setup.gate.endpoint.merge_record(known)
        assert (await setup.serve()).metadata.refusal is Refusal.LEAVING

    return run_scenario(respond_ok, scenario)


# Guards against a response without end that fills the memory of a node.
@pytest.mark.parametrize("endless", list(Endless))
def test_a_response_without_end_is_given_up_before_the_deadline(endless: Endless) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.upstream.endless = endless
        began = asyncio.get_running_loop().time()
        reply = await setup.serve(left_ms=20_000.0, due_ms=20_000.0)
        assert (reply.metadata.ran, reply.response) == (None, None)
        assert asyncio.get_running_loop().time() - began < 10.0
        async with asyncio.timeout(5.0):
            while setup.upstream.open_connections:
                await asyncio.sleep(0.01)
        # What the sockets of both sides hold comes on top.
        assert setup.upstream.sent_bytes < 2 * MAX_BODY_BYTES
        setup.upstream.endless = None
        assert (await setup.serve("q2")).metadata.ran

    return run_scenario(respond_ok, scenario)


# Guards against a node that runs out of memory, and takes the calls of others with it.
@pytest.mark.parametrize("endless", [Endless.CHUNKS, Endless.UNTIL_CLOSE])
def test_responses_without_end_leave_room_for_the_others(endless: Endless) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        memory = setup.memory
        memory.capacity = MAX_BODY_BYTES
        peak = 0
        bad = [serve(setup.gate, f"bad-{number}") for number in range(4)]
        sound = [serve(setup.gate, f"sound-{number}") for number in range(4)]
        waiting = asyncio.gather(*bad, *sound)
        while not waiting.done():
            peak = max(peak, memory.held)
            await asyncio.sleep(0)
        replies = await waiting
        assert [reply.metadata.ran for reply in replies] == [None] * 4 + [True] * 4
        assert {len(reply.response.body) for reply in replies[4:] if reply.response} == {1 << 20}
        assert peak <= MAX_BODY_BYTES
        assert memory.given_up > 0
        assert memory.held == 4 << 20
        del replies, waiting, bad, sound
        assert memory.held == 0

    async def respond(request: ReceivedRequest) -> bytes | Endless:
        if request.headers["request-id"].startswith("bad"):
            return endless
        return make_response(request, body=b"x" * (1 << 20))

    return run_scenario(respond, scenario, slots=8)


def quarantine(suspects: Suspects, caller: str) -> None:
    """Let `suspects` know the requests of this module as ones that have ended three endpoints."""
    fingerprint = make_request().compute_fingerprint(caller, b"")
    crashes = tuple(f"i-{number}@1" for number in range(QUARANTINE_CRASHES))
    record = SuspectRecord(
        fingerprint=fingerprint, crashes=crashes, refuted=(), trials=0, age_s=0.0
    )
    suspects.merge((record,), asyncio.get_running_loop().time())


# Guards against one caller whose requests keep those of another from the endpoints.
def test_the_quarantine_of_a_request_holds_for_its_caller_only() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        quarantine(setup.suspects, "s")
        refused = await setup.serve("q1", caller="s")
        assert (refused.metadata.ran, refused.metadata.refusal) == (False, Refusal.QUARANTINED)
        assert setup.upstream.requests == []
        assert (await setup.serve("q2", caller="t")).metadata.ran is True

    return run_scenario(respond_ok, scenario)


def test_a_trial_that_is_answered_ends_the_quarantine_everywhere(
    monkeypatch: pytest.MonkeyPatch,
) -> Deferred[None]:
    monkeypatch.setattr(suspects_module, "QUARANTINES_S", (0.1, 60.0))

    async def scenario(setup: Setup) -> None:
        quarantine(setup.suspects, "s")
        assert (await setup.serve("q1")).metadata.ran is False
        await asyncio.sleep(0.15)
        assert (await setup.serve("q2")).metadata.ran is True
        assert (await setup.serve("q3")).metadata.ran is True
        (trial,), (response,) = setup.shared
        assert (trial.trials, response.crashes) == (1, ())

    return run_scenario(respond_ok, scenario)


def test_an_endpoint_that_crashes_is_down_at_once_and_its_call_a_suspect() -> Deferred[None]:
    async def crash(request: ReceivedRequest) -> bytes | None:
        upstreams[0].crash()
        return b""

    upstreams: list[ScriptedUpstream] = []

    async def scenario(setup: Setup) -> None:
        upstreams.append(setup.upstream)
        assert (await setup.serve()).metadata.ran is None
        await asyncio.sleep(0.1)
        assert setup.records[-1].state is EndpointState.DOWN
        ((record,),) = setup.shared
        assert (record.fingerprint, record.crashes) == (
            make_request().compute_fingerprint("s", b""),
            ("i-1@100",),
        )

    return run_scenario(crash, scenario)


def test_a_connection_that_breaks_without_its_endpoint_makes_no_suspect() -> Deferred[None]:
    async def break_off(request: ReceivedRequest) -> bytes | None:
        return b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nbro"

    async def scenario(setup: Setup) -> None:
        serving = asyncio.ensure_future(setup.serve())
        await asyncio.sleep(0.05)
        setup.upstream.break_connections()
        assert (await serving).metadata.ran is None
        await asyncio.sleep(0.1)
        assert setup.records[-1].state is EndpointState.READY
        assert setup.shared == []

    return run_scenario(break_off, scenario)


COLD_SERVICE = Service(name="s", health_path="/ready", warmup_s=3.0, warmup_per_s=5.0)


def name_warmup(request: ReceivedRequest, left_ms: int | None) -> bytes:
    # Health checks have no id.
    request.headers.setdefault("request-id", "")
    headers = f"Warmup-Left: {left_ms}\r\n" if left_ms is not None else ""
    return make_response(request, extra_headers=headers)


async def serve_many(setup: Setup, calls: int, **fields: Any) -> list[OwnerResponse]:
    return await asyncio.gather(*(setup.serve(f"q{n}", **fields) for n in range(calls)))


# Guards against an owner that sends a cold endpoint more than it tolerates, which ends it.
def test_a_cold_endpoint_gets_calls_at_its_pace_until_it_is_warm() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.gate.configure_service(COLD_SERVICE)
        refused = await serve_many(setup, 20, may_wait=False)
        assert {reply.metadata.refusal for reply in refused} == {Refusal.FULL}
        assert refused[0].metadata.load.cold_per_s == 5.0
        assert 0.0 < refused[0].metadata.wait_ms <= 200.0
        assert (await setup.serve()).metadata.ran is True
        assert setup.gate.warmup.refusals == 20
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=2))
        assert all(reply.metadata.ran for reply in await serve_many(setup, 8))
        assert setup.gate.read_load().cold_per_s is None

    return run_scenario(respond_ok, scenario, slots=20, warm_after_s=2.0)


# Guards against calls that start at the pace and whose bodies then arrive at once.
def test_a_call_to_a_cold_endpoint_starts_when_its_body_is_there() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.gate.configure_service(COLD_SERVICE)
        body: Deferred[bytes | None] = Deferred()

        class SlowBody:
            async def read(self) -> bytes | None:
                return await body

            def expire(self) -> None:
                body.callback(None)

        request = replace(make_request(), body=SlowBody())
        # A call that is refused anyway moves no body.
        hurried = setup.gate.serve(make_metadata(may_wait=False), request)
        refused = await Deferred.fromCoroutine(hurried).asFuture(asyncio.get_running_loop())
        assert refused.metadata.refusal is Refusal.FULL
        serving = Deferred.fromCoroutine(setup.gate.serve(make_metadata(), request))
        await asyncio.sleep(0.3)
        assert not setup.gate.queue.running
        body.callback(b"body")
        reply = await serving.asFuture(asyncio.get_running_loop())
        assert reply.metadata.ran is True

    return run_scenario(respond_ok, scenario, warm_after_s=2.0)


# Guards against a warm-up that is noticed only with the next announcement, which is too late.
def test_an_endpoint_that_becomes_cold_again_is_asked_and_paced() -> Deferred[None]:
    async def respond(request: ReceivedRequest) -> bytes:
        left_ms = 2000 if request.target == "/ready" else None
        return name_warmup(request, left_ms)

    async def scenario(setup: Setup) -> None:
        setup.gate.configure_service(COLD_SERVICE)
        for number in range(20):
            await setup.serve(f"q{number}", may_wait=False)
        assert [each.target for each in setup.upstream.requests].count("/ready") == 1
        assert len(setup.upstream.requests) < COLD_SERVICE.warmup_per_s * 1.5 + 8.0
        assert setup.gate.read_load().cold_per_s == 5.0
        assert setup.gate.warmup.cold_periods == 1

    return run_scenario(respond, scenario, slots=20)


@pytest.mark.parametrize("left_ms", [0, 2000])
def test_an_endpoint_found_after_a_restart_is_cold_until_it_says_otherwise(
    left_ms: int,
) -> Deferred[None]:
    async def respond(request: ReceivedRequest) -> bytes:
        return name_warmup(request, left_ms)

    async def scenario(setup: Setup) -> None:
        gate = make_fresh_gate(setup)
        gate.configure_service(COLD_SERVICE)
        gate.endpoint.adopt(setup.records[-1])
        assert gate.read_load().cold_per_s == 5.0
        assert (await serve(gate, may_wait=False)).metadata.refusal is Refusal.FULL
        await asyncio.sleep(0.3)
        # The first credit goes to a health check.
        await serve(gate, "q2", may_wait=False)
        await asyncio.sleep(0.05)
        assert setup.upstream.requests[-1].target == "/ready"
        assert gate.read_load().cold_per_s == (5.0 if left_ms else None)

    return run_scenario(respond, scenario)


def test_an_expected_warm_up_ends_with_the_next_announcement() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.gate.configure_service(COLD_SERVICE)
        assert setup.gate.read_load().cold_per_s is None
        setup.gate.expect_cold()
        assert setup.gate.read_load().cold_per_s == 5.0
        setup.gate.endpoint.handle_announcement(make_announcement(setup.address, sequence=2))
        assert setup.gate.read_load().cold_per_s is None

    return run_scenario(respond_ok, scenario)


# After a power loss entries get the configuration before some owners, which would send their cold
# endpoints all calls.
def test_an_owner_sends_nothing_before_it_knows_the_rate_of_its_endpoint() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        gate = make_fresh_gate(setup, None, "places")
        gate.endpoint.adopt(setup.records[-1])
        assert (await serve(gate)).metadata.refusal is Refusal.UNKNOWN
        gate.configure_service(Service(name="s"))
        assert (await serve(gate)).metadata.ran is True
        assert (await serve(make_adopted_gate(setup))).metadata.ran is True

    def make_adopted_gate(setup: Setup) -> EndpointGate:
        gate = make_fresh_gate(setup)
        gate.endpoint.adopt(setup.records[-1])
        return gate

    return run_scenario(respond_ok, scenario)


async def respond_at_once(request: ReceivedRequest) -> bytes:
    return make_response(request)


def run_forgetful(scenario: Callable[[Setup], Awaitable[None]]) -> Deferred[None]:
    """Run a scenario beside an endpoint that forgets connections after a rest of 0.1 s."""

    async def run(setup: Setup) -> None:
        setup.upstream.forget_after_s = 0.1
        await scenario(setup)

    return run_scenario(respond_at_once, run)


def test_an_idempotent_call_is_sent_again_if_its_rested_connection_was_dropped() -> Deferred[None]:
    """Guards against a 502 for a call that the endpoint would take on a new connection."""

    async def scenario(setup: Setup) -> None:
        await setup.serve("q1", idempotent=True, may_resend=True)
        await asyncio.sleep(0.12)
        reply = await setup.serve("q2", idempotent=True, may_resend=True)
        assert (reply.metadata.ran, reply.metadata.resent) == (True, True)
        assert setup.upstream.accepted_connections == 2
        assert (setup.gate.connections.drops, setup.gate.resent_count) == (1, 1)

    return run_forgetful(scenario)


def test_a_call_is_sent_again_only_if_its_entry_allows_it() -> Deferred[None]:
    """Guards against retries beyond the budget, and against a write that runs twice."""

    async def scenario(setup: Setup) -> None:
        await setup.serve("q1")
        await asyncio.sleep(0.12)
        reply = await setup.serve("q2", idempotent=True)
        assert (reply.metadata.ran, reply.metadata.resent) == (None, False)
        assert setup.upstream.accepted_connections == 1

    return run_forgetful(scenario)


def test_a_write_avoids_connections_that_may_be_dropped_without_a_new_one_for_each() -> (
    Deferred[None]
):
    """Guards against lost writes, and against a connection for each write."""

    async def scenario(setup: Setup) -> None:
        await setup.serve("q1")
        await asyncio.sleep(0.12)
        await setup.serve("q2", idempotent=True, may_resend=True)
        for number in range(4):
            await asyncio.sleep(0.12)
            for write in range(5):
                reply = await setup.serve(f"w{number}.{write}")
                assert reply.metadata.ran
        assert setup.upstream.accepted_connections == 2 + 4
        assert setup.gate.connections.opened == 2 + 4

    return run_forgetful(scenario)


def test_the_outcome_of_a_call_that_was_dropped_and_then_refused_is_unknown() -> Deferred[None]:
    """Guards against "not run" for a call whose first request may have run."""

    async def scenario(setup: Setup) -> None:
        await setup.serve("q1", idempotent=True)
        await asyncio.sleep(0.12)
        setup.upstream.stop()
        reply = await setup.serve("q2", idempotent=True, may_resend=True)
        assert (reply.metadata.ran, reply.metadata.resent) == (None, True)

    return run_forgetful(scenario)


@pytest.mark.parametrize(("value", "slowdown"), [("1, 0, 1, 250", 2.5), ("1, 0, 1", 1.0)])
def test_the_speed_that_an_endpoint_names_reaches_its_load_and_its_call_times(
    value: str, slowdown: float
) -> Deferred[None]:
    """Guards against a value that is read after the call that it explains has been counted."""

    async def respond(request: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.1)
        return make_response(request, extra_headers=f"Load: {value}\r\n")

    async def scenario(setup: Setup) -> None:
        reply = await setup.serve()
        assert reply.metadata.load.slowdown == pytest.approx(slowdown, abs=0.1)
        assert reply.metadata.load.service_ms == pytest.approx(100 / slowdown, rel=0.3)

    return run_scenario(respond, scenario)


@pytest.mark.parametrize(
    ("status", "extra"), [("503 Full", "Not-Executed: 1\r\n"), ("421 Misdirected", "")]
)
def test_a_call_that_was_resent_and_then_refused_may_have_run(
    status: str, extra: str
) -> Deferred[None]:
    """Guards against "not run" for a call whose first request was lost while it ran."""
    setups: list[Setup] = []

    async def respond(request: ReceivedRequest) -> bytes | None:
        number = len(setups[0].upstream.requests)
        if number == 2:
            setups[0].upstream.break_connections()
            return None
        if number == 3:
            return make_response(request, status, extra_headers=extra)
        return make_response(request)

    async def scenario(setup: Setup) -> None:
        setups.append(setup)
        await setup.serve("q1", idempotent=True)
        await asyncio.sleep(0.1)
        reply = await setup.serve("q2", idempotent=True, may_resend=True)
        assert (reply.metadata.ran, reply.metadata.resent) == (None, True)

    return run_scenario(respond, scenario)


class LateBody:
    """A body that arrives when the test sends it."""

    def __init__(self) -> None:
        self.arrival: Deferred[bytes | None] = Deferred()

    async def read(self) -> bytes | None:
        return await self.arrival

    def expire(self) -> None:
        if not self.arrival.called:
            self.arrival.callback(None)


def serve_late(setup: Setup, name: str) -> "tuple[LateBody, asyncio.Future[OwnerResponse]]":
    body = LateBody()
    request = replace(make_request(name), body=body)
    metadata = make_metadata(left_ms=5000.0, due_ms=5000.0)
    serving = Deferred.fromCoroutine(setup.gate.serve(metadata, request))
    return body, serving.asFuture(asyncio.get_running_loop())


def test_bodies_that_arrive_together_do_not_flood_an_endpoint_that_became_cold() -> Deferred[None]:
    """Guards against calls that start while the endpoint is warm and are all sent later."""

    async def respond(request: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.3)
        return make_response(request)

    async def scenario(setup: Setup) -> None:
        setup.gate.configure_service(COLD_SERVICE)
        calls = []
        for number in range(30):
            if number % 5 == 0:
                announcement = make_announcement(setup.address, sequence=2 + number, slots=40)
                setup.gate.endpoint.handle_announcement(announcement)
            calls.append(serve_late(setup, f"q{number}"))
        await asyncio.sleep(0.1)
        for body, _ in calls:
            body.arrival.callback(b"x")
        await asyncio.sleep(0.25)
        assert len(setup.upstream.requests) < COLD_SERVICE.warmup_per_s * 1.5 + 8
        await asyncio.wait([serving for _, serving in calls])

    return run_scenario(respond, scenario, slots=40)


def test_a_call_whose_body_comes_after_an_evacuation_is_refused_at_once() -> Deferred[None]:
    """Guards against a call that waits for a slot that it may not use."""

    async def scenario(setup: Setup) -> None:
        gate = setup.gate
        gate.configure_service(COLD_SERVICE)
        body, serving = serve_late(setup, "q1")
        await asyncio.sleep(0.05)
        gate.zone_guard = ClosedZone()
        gate.handle_evacuation(True)
        body.arrival.callback(b"x")
        assert (await serving).metadata.refusal is Refusal.EVACUATED
        assert gate.warmup.pace.count_recent(asyncio.get_running_loop().time()) == 0

    return run_scenario(respond_ok, scenario, slots=1)


class ClosedZone:
    def find_refusal(self) -> Refusal:
        return Refusal.EVACUATED

    def report_refusal(self) -> None:
        return None
