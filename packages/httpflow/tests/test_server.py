import asyncio
import gc
import socket

import pytest
import pytest_twisted

from corianderwall.httpflow.limits import ServerLimits
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.httpflow.relay import relay
from corianderwall.httpflow.server import CallServer
from corianderwall.model.verdict import Verdict


class HoldingHandler:
    """A handler that records its calls and never responds to them."""

    def __init__(self) -> None:
        self.calls = []

    def handle(self, call) -> None:
        self.calls.append(call)


@pytest.fixture
def cleanups():
    closers = []
    yield closers
    for close in closers:
        close()


async def open_server(cleanups, handler, **limits):
    server = CallServer(handler, ServerLimits(**limits))
    cleanups.append(server.stop_now)
    address = await server.listen("127.0.0.1", 0)
    pool = UpstreamPool(address, 10)
    cleanups.append(pool.abort)
    return server, pool


def now() -> float:
    return asyncio.get_event_loop().time()


@pytest_twisted.ensureDeferred
async def test_a_drain_lets_the_running_call_end(cleanups, tools) -> None:
    handler = HoldingHandler()
    server, pool = await open_server(cleanups, handler)
    receiver = tools.Receiver()
    pool.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: len(handler.calls) == 1)
    drained = server.drain(now())
    await tools.pause(0.05)
    assert not drained.called
    handler.calls[0].respond(200, [], b"whole")
    report = await drained
    assert (report.completed, report.aborted) == (1, 0)
    result = await receiver.done
    assert (result.complete, receiver.body) == (True, b"whole")
    late = tools.Receiver()
    pool.send(tools.make_call(), late)
    assert (await late.done).verdict is Verdict.NOT_RUN


@pytest_twisted.ensureDeferred
async def test_late_calls_run_while_senders_do_not_know_of_the_drain(cleanups, tools) -> None:
    class RespondingHandler:
        def handle(self, call) -> None:
            call.respond(200, [], b"ok")

    server, pool = await open_server(cleanups, RespondingHandler())
    pool.warm(3)
    await tools.wait_until(lambda: pool.idle_connections == 3)
    drained = server.drain(now() + 0.3)
    for _ in range(6):
        receiver = tools.Receiver()
        pool.send(tools.make_call(), receiver)
        assert (await receiver.done).complete
    assert pool.open_connections == 0
    report = await drained
    assert (report.completed, report.aborted) == (6, 0)


@pytest_twisted.ensureDeferred
async def test_connections_that_wait_to_be_accepted_are_served_by_a_drain(cleanups, tools) -> None:
    class RespondingHandler:
        def handle(self, call) -> None:
            call.respond(200, [], b"ok")

    server, pool = await open_server(cleanups, RespondingHandler())
    sockets = [socket.create_connection((pool.address.host, pool.address.port)) for _ in range(5)]
    cleanups.extend(each.close for each in sockets)
    # The reactor has not run since, so all five are in the kernel's accept queue.
    drained = server.drain(now())
    await tools.pause(0.05)
    for each in sockets:
        each.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    report = await drained
    assert (report.completed, report.aborted) == (5, 0)
    assert all(each.recv(100).endswith(b"ok") for each in sockets)


@pytest_twisted.ensureDeferred
async def test_a_request_read_behind_another_gets_its_response_before_a_drain_closes(
    cleanups, tools
) -> None:
    """Guards against requests that were read whole and end with the connection."""
    handler = HoldingHandler()
    server, pool = await open_server(cleanups, handler)
    caller = socket.create_connection((pool.address.host, pool.address.port))
    cleanups.append(caller.close)
    caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
    await tools.wait_until(lambda: len(handler.calls) == 1)
    drained = server.drain(now())
    await tools.pause(0.05)
    handler.calls[0].respond(200, [], b"first")
    await tools.wait_until(lambda: len(handler.calls) == 2)
    handler.calls[1].respond(200, [], b"second")
    report = await drained
    assert (report.completed, report.aborted) == (2, 0)
    first, second = caller.recv(1000).split(b"first")
    assert b"connection: close" not in first
    assert b"connection: close" in second and second.endswith(b"second")


class RespondingHandler:
    """A handler that responds to each call at once."""

    def handle(self, call) -> None:
        call.respond(200, [], b"ok")


async def open_unread_request(cleanups, tools):
    """Return a server, its connection and a caller whose request the event loop has not read."""
    server, pool = await open_server(cleanups, RespondingHandler())
    caller = socket.create_connection((pool.address.host, pool.address.port))
    cleanups.append(caller.close)
    await tools.wait_until(lambda: server.open_connections == 1)
    (connection,) = server.connections
    caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    return server, connection, caller


@pytest_twisted.ensureDeferred
async def test_a_request_that_arrives_in_the_instant_of_the_close_is_served_by_a_drain(
    cleanups, tools
) -> None:
    """Pattern: a caller uses an idle connection again while the server stops."""
    server, connection, caller = await open_unread_request(cleanups, tools)
    connection.idle_since = now() - 60
    report = await server.drain(now())
    assert (report.completed, report.aborted) == (1, 0)
    assert caller.recv(100).endswith(b"ok")


@pytest_twisted.ensureDeferred
async def test_a_request_that_arrives_in_the_instant_of_the_idle_timeout_is_served(
    cleanups, tools
) -> None:
    server, connection, caller = await open_unread_request(cleanups, tools)
    connection.expire()
    await tools.wait_until(lambda: server.ended_calls == 1)
    assert caller.recv(100).endswith(b"ok")


@pytest_twisted.ensureDeferred
async def test_a_forced_stop_reports_the_calls_that_it_aborted(cleanups, tools) -> None:
    handler = HoldingHandler()
    server, pool = await open_server(cleanups, handler)
    receivers = [tools.Receiver() for _ in range(2)]
    for receiver in receivers:
        pool.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: len(handler.calls) == 2)
    drained = server.drain(now())
    handler.calls[0].respond(200, [])
    assert server.stop_now().aborted == 1
    report = await drained
    assert (report.completed, report.aborted) == (1, 1)


@pytest_twisted.ensureDeferred
async def test_an_idle_connection_is_closed_at_its_deadline(cleanups, tools) -> None:
    server, pool = await open_server(cleanups, HoldingHandler(), idle_timeout_s=0.1)
    pool.warm(1)
    await tools.wait_until(lambda: server.open_connections == 1)
    await tools.wait_until(lambda: server.open_connections == 0)


@pytest_twisted.ensureDeferred
async def test_calls_on_connections_above_the_limit_are_refused_as_not_run(cleanups, tools) -> None:
    handler = HoldingHandler()
    server, pool = await open_server(cleanups, handler, max_connections=2)
    receivers = [tools.Receiver() for _ in range(5)]
    for receiver in receivers:
        pool.send(tools.make_call(b"POST", body=b"abc"), receiver)
    await tools.wait_until(lambda: sum(len(each.results) for each in receivers) == 3)
    verdicts = [result.verdict for each in receivers for result in each.results]
    assert verdicts == [Verdict.NOT_RUN] * 3
    await tools.wait_until(lambda: server.open_connections == 2)
    assert len(handler.calls) == 2


class RelayHandler:
    def __init__(self, pool, tools) -> None:
        self.pool = pool
        self.tools = tools

    def handle(self, call) -> None:
        outgoing = self.tools.make_call(call.method, target=call.target, headers=call.headers)
        relay(call, self.pool, outgoing)


@pytest_twisted.ensureDeferred
async def test_two_hops_keep_a_large_response_in_bounded_memory(cleanups, tools) -> None:
    chunk = b"x" * 65536
    chunks = 3200

    class Source:
        def __init__(self, call) -> None:
            self.call, self.left, self.paused = call, chunks, False
            call.start_response(200, [], None, self)
            self.write()

        def pause_body(self) -> None:
            self.paused = True

        def resume_body(self) -> None:
            self.paused = False
            asyncio.get_event_loop().call_soon(self.write)

        def write(self) -> None:
            while self.left and not self.paused:
                self.left -= 1
                self.call.write_body(chunk)
            if not self.left:
                self.call.end_response()

    class StreamingHandler:
        def handle(self, call) -> None:
            self.source = Source(call)

    streaming_handler = StreamingHandler()
    _, inner = await open_server(cleanups, streaming_handler)
    _, outer = await open_server(cleanups, RelayHandler(inner, tools))

    class CountingReceiver(tools.Receiver):
        received = 0

        def receive_body(self, data: bytes) -> None:
            self.received += len(data)

    receiver = CountingReceiver()
    attempt = outer.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: receiver.received > 0)
    attempt.pause_body()
    left = -1
    while left != streaming_handler.source.left:
        left = streaming_handler.source.left
        await tools.pause(0.1)
    # The data in the sockets and the write buffers of both hops.
    in_flight = (chunks - left) * len(chunk) - receiver.received
    assert in_flight < 32 * 1024 * 1024
    attempt.resume_body()
    result = await receiver.done
    assert (result.complete, receiver.received) == (True, chunks * len(chunk))


@pytest_twisted.ensureDeferred
async def test_a_caller_that_disconnects_cancels_the_relayed_call(cleanups, tools) -> None:
    handler = HoldingHandler()
    _, inner = await open_server(cleanups, handler)
    server, outer = await open_server(cleanups, RelayHandler(inner, tools))
    receiver = tools.Receiver()
    attempt = outer.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: len(handler.calls) == 1)
    disconnects = []
    handler.calls[0].on_disconnect = lambda: disconnects.append(1)
    attempt.cancel()
    await tools.wait_until(lambda: disconnects == [1])
    assert server.running_calls == 0


@pytest_twisted.ensureDeferred
async def test_calls_leave_no_cycles_for_the_garbage_collector(cleanups, tools) -> None:
    class RespondingHandler:
        def handle(self, call) -> None:
            call.respond(200, [], b"ok")

    _, inner = await open_server(cleanups, RespondingHandler())
    _, outer = await open_server(cleanups, RelayHandler(inner, tools))

    async def send_calls() -> None:
        for method, body in ((b"GET", b""), (b"POST", b"abc")) * 20:
            receiver = tools.Receiver()
            outer.send(tools.make_call(method, body=body), receiver)
            await receiver.done

    await send_calls()
    gc.collect()
    gc.disable()
    try:
        gc.set_debug(gc.DEBUG_SAVEALL)
        await send_calls()
        gc.collect()
        kinds = {type(each).__name__ for each in gc.garbage}
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert not kinds & {"IncomingCall", "Attempt", "OutgoingCall", "Relay", "RequestHead"}


@pytest_twisted.ensureDeferred
async def test_the_relay_truncates_a_truncated_response(cleanups, tools) -> None:
    handler = HoldingHandler()
    _, inner = await open_server(cleanups, handler)
    _, outer = await open_server(cleanups, RelayHandler(inner, tools))
    receiver = tools.Receiver()
    outer.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: len(handler.calls) == 1)
    handler.calls[0].start_response(200, [], None)
    handler.calls[0].write_body(b"part")
    await tools.wait_until(lambda: receiver.body == b"part")
    handler.calls[0].abort_response()
    result = await receiver.done
    assert (result.verdict, result.complete) == (Verdict.RAN, False)


@pytest_twisted.ensureDeferred
async def test_the_relay_forwards_a_refusal(cleanups, tools) -> None:
    class RefusingHandler:
        def handle(self, call) -> None:
            call.respond(503, [(b"x-not-run", b"1")])

    _, inner = await open_server(cleanups, RefusingHandler())
    _, outer = await open_server(cleanups, RelayHandler(inner, tools))
    receiver = tools.Receiver()
    outer.send(tools.make_call(b"POST", body=b"abc"), receiver)
    result = await receiver.done
    assert (result.verdict, result.refused) == (Verdict.NOT_RUN, True)


@pytest_twisted.ensureDeferred
async def test_an_upload_is_streamed_through_the_relay(cleanups, tools) -> None:
    class CountingHandler:
        received = 0

        def handle(self, call) -> None:
            self.call, self.received = call, 0
            call.read_body(self)

        def write_body(self, data: bytes) -> None:
            self.received += len(data)

        def end_body(self) -> None:
            self.call.respond(200, [], b"%d" % self.received)

        def abort_body(self) -> None:
            pass

    _, inner = await open_server(cleanups, CountingHandler())
    _, outer = await open_server(cleanups, RelayHandler(inner, tools))

    class Source:
        paused = False

        def pause_body(self) -> None:
            self.paused = True

        def resume_body(self) -> None:
            self.paused = False

    for length in (None, 20 * 1024 * 1024):
        receiver, source = tools.Receiver(), Source()
        call = tools.make_call(b"PUT", streamed=True, body_length=length, source=source)
        attempt = outer.send(call, receiver)
        for _ in range(320):
            while source.paused:
                await tools.pause(0)
            attempt.write_body(b"x" * 65536)
        attempt.end_body()
        assert (await receiver.done).complete
        assert receiver.body == b"%d" % (20 * 1024 * 1024)
