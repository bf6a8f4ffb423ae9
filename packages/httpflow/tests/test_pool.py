import asyncio
import socket
import struct

import pytest
import pytest_twisted

from corianderwall.httpflow.attempt import Attempt
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.endpoint import Address
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest_twisted.ensureDeferred
async def test_a_whole_response_means_ran_and_the_connection_is_kept(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    for _ in range(3):
        result, receiver = await pool_harness.call(pool, headers=[(b"host", b"h"), (b"te", b"x")])
        assert (result.verdict, result.status, result.complete) == (Verdict.RAN, 200, True)
        assert receiver.body == b"ok"
    assert pool_harness.upstream.connections == 1
    assert pool_harness.upstream.requests[0] == b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


@pytest_twisted.ensureDeferred
async def test_a_refused_connection_means_not_run(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    pool_harness.upstream.stop()
    result, _ = await pool_harness.call(pool, b"POST")
    assert (result.verdict, result.error) == (Verdict.NOT_RUN, ErrorCode.UPSTREAM_LOST)


@pytest_twisted.ensureDeferred
async def test_only_a_marked_refusal_means_not_run(pool_harness, tools) -> None:
    plain = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"
    marked = b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nRetry-After: 2\r\ncontent-length: 2\r\n\r\nno"
    pool = await pool_harness.open(tools.respond_with(plain, marked, OK))
    result, receiver = await pool_harness.call(pool, b"POST")
    assert (result.verdict, result.refused, len(receiver.heads)) == (Verdict.RAN, False, 1)
    result, receiver = await pool_harness.call(pool, b"POST")
    assert (result.verdict, result.refused, result.error) == (
        Verdict.NOT_RUN,
        True,
        ErrorCode.UPSTREAM_REFUSED,
    )
    assert (receiver.heads, receiver.body) == ([], b"")
    assert result.head is not None
    assert result.head.find_header(b"retry-after") == b"2"
    result, _ = await pool_harness.call(pool)
    assert result.complete


# Guards against a copy of the refusal that is taken for the response to the next request.
@pytest_twisted.ensureDeferred
async def test_a_connection_is_not_used_again_after_a_refusal(pool_harness, tools) -> None:
    marked = b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\ncontent-length: 2\r\n\r\nno"
    pool = await pool_harness.open(tools.respond_with(OK, marked, marked), tools.respond_with(OK))
    verdicts = [(await pool_harness.call(pool, b"POST"))[0].verdict for _ in range(3)]
    assert verdicts == [Verdict.RAN, Verdict.NOT_RUN, Verdict.RAN]
    assert pool_harness.upstream.connections == 2


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\ncontent-len",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nxx",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\na: b\r\n c\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 300 + b"\r\n",
        b"HTTP/1.1 200 OK\r\na: " + b"b" * 100_000 + b"\r\n\r\n",
    ],
)
@pytest_twisted.ensureDeferred
async def test_no_final_head_means_may_have_run(pool_harness, tools, response: bytes) -> None:
    pool = await pool_harness.open(tools.respond_with(response))
    result, receiver = await pool_harness.call(pool, b"POST")
    assert (result.verdict, result.error) == (Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_LOST)
    assert (receiver.heads, receiver.body, pool.open_connections) == ([], b"", 0)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\nzz",
    ],
)
@pytest_twisted.ensureDeferred
async def test_a_truncated_response_is_never_whole(pool_harness, tools, response: bytes) -> None:
    pool = await pool_harness.open(tools.respond_with(response))
    result, receiver = await pool_harness.call(pool)
    assert (result.verdict, result.complete) == (Verdict.RAN, False)
    assert (result.error, receiver.body) == (ErrorCode.UPSTREAM_LOST, b"ok")


@pytest_twisted.ensureDeferred
async def test_a_body_may_end_with_the_connection_but_not_by_a_reset(pool_harness, tools) -> None:
    head = b"HTTP/1.1 200 OK\r\n\r\nok"

    async def reset(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        writer.write(head)
        await asyncio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    pool = await pool_harness.open(tools.respond_with(head), reset)
    result, receiver = await pool_harness.call(pool)
    assert (result.complete, receiver.body) == (True, b"ok")
    result, receiver = await pool_harness.call(pool, body=b"x" * 100, method=b"POST")
    assert (result.complete, receiver.body) == (False, b"ok")


@pytest_twisted.ensureDeferred
async def test_a_late_response_reaches_no_other_call(pool_harness, tools) -> None:
    async def respond_late(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        await asyncio.sleep(0.2)
        writer.write(OK.replace(b"ok", b"!!"))
        await writer.drain()

    pool = await pool_harness.open(respond_late, tools.keep_responding(OK), size=1)
    deadline = asyncio.get_event_loop().time() + 0.1
    result, _ = await pool_harness.call(pool, b"POST", deadline=deadline)
    assert (result.verdict, result.error) == (Verdict.MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED)
    for _ in range(20):
        _, receiver = await pool_harness.call(pool)
        assert receiver.body == b"ok"
        await tools.pause(0.01)
    assert pool_harness.upstream.connections == 2


@pytest_twisted.ensureDeferred
async def test_a_body_that_has_to_be_asked_for_follows_the_request_for_it(
    pool_harness, tools
) -> None:
    bodies: list[bytes] = []

    async def ask(upstream, reader, writer) -> None:
        for _ in range(2):
            await upstream.read_request(reader)
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            bodies.append(await reader.readexactly(4))
            writer.write(OK)

    pool = await pool_harness.open(ask)
    for _ in range(2):
        result, receiver = await pool_harness.call(
            pool, b"POST", body=b"abcd", expects_continue=True
        )
        assert (result.verdict, result.complete, receiver.body) == (Verdict.RAN, True, b"ok")
    assert bodies == [b"abcd", b"abcd"]
    assert b"expect: 100-continue\r\ncontent-length: 4\r\n" in pool_harness.upstream.requests[0]
    assert pool_harness.upstream.connections == 1


@pytest_twisted.ensureDeferred
async def test_a_refused_body_is_never_sent_and_its_connection_is_not_used_again(
    pool_harness, tools
) -> None:
    received: list[bytes] = []

    async def refuse(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        writer.write(b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n")
        received.append(await reader.read())

    pool = await pool_harness.open(refuse, tools.keep_responding(OK))
    result, _ = await pool_harness.call(pool, b"POST", body=b"abcd", expects_continue=True)
    assert (result.status, result.complete) == (503, True)
    result, receiver = await pool_harness.call(pool)
    assert receiver.body == b"ok"
    await tools.wait_until(lambda: received == [b""])
    assert pool_harness.upstream.connections == 2


@pytest_twisted.ensureDeferred
async def test_a_connection_lost_before_the_body_was_asked_for_means_not_run(
    pool_harness, tools
) -> None:
    pool = await pool_harness.open(tools.respond_with(b""))
    result, _ = await pool_harness.call(pool, b"POST", body=b"abcd", expects_continue=True)
    assert (result.verdict, result.error) == (Verdict.NOT_RUN, ErrorCode.UPSTREAM_LOST)


@pytest_twisted.ensureDeferred
async def test_a_response_before_the_body_is_read_leaves_no_bytes_for_the_next_request(
    pool_harness, tools
) -> None:
    """Pattern: an endpoint responds early, keeps the connection and reads on later."""

    async def respond_early(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        writer.write(OK)
        await asyncio.sleep(20)

    pool = await pool_harness.open(respond_early, tools.keep_responding(OK))
    result, _ = await pool_harness.call(pool, b"POST", body=b"x" * 16_000_000)
    assert result.complete
    started = asyncio.get_event_loop().time()
    result, receiver = await pool_harness.call(pool)
    assert (result.complete, receiver.body) == (True, b"ok")
    assert asyncio.get_event_loop().time() - started < 5
    assert pool_harness.upstream.connections == 2


@pytest_twisted.ensureDeferred
async def test_a_passed_deadline_sends_nothing(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    result, _ = await pool_harness.call(pool, deadline=asyncio.get_event_loop().time() - 1)
    assert (result.verdict, result.error) == (Verdict.NOT_RUN, ErrorCode.DEADLINE_EXCEEDED)
    assert pool_harness.upstream.connections == 0


@pytest_twisted.ensureDeferred
async def test_a_cancelled_call_closes_its_connection(pool_harness, tools) -> None:
    async def wait(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        await reader.read()

    pool = await pool_harness.open(wait)
    receiver = tools.Receiver()
    attempt = pool.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: len(pool_harness.upstream.requests) == 1)
    attempt.cancel()
    attempt.cancel()
    assert [result.verdict for result in receiver.results] == [Verdict.MAY_HAVE_RUN]
    await tools.wait_until(lambda: pool_harness.upstream.ended == 1)
    assert pool.open_connections == 0


@pytest_twisted.ensureDeferred
async def test_a_call_cancelled_before_its_connection_opens_has_not_run(
    pool_harness, tools
) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    receiver = tools.Receiver()
    pool.send(tools.make_call(), receiver).cancel()
    assert receiver.results[0].verdict is Verdict.NOT_RUN
    await tools.wait_until(lambda: pool.idle_connections == 1)
    assert pool_harness.upstream.requests == []


@pytest_twisted.ensureDeferred
async def test_line_breaks_after_a_response_are_ignored(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK + b"\r\n"))
    for _ in range(5):
        result, receiver = await pool_harness.call(pool)
        assert (result.complete, receiver.body) == (True, b"ok")


@pytest.mark.parametrize("extra", [OK, b"HTTP/1.1 200 OK\r\n", b"x"])
@pytest_twisted.ensureDeferred
async def test_bytes_after_a_response_reach_no_later_call(
    pool_harness, tools, extra: bytes
) -> None:
    pool = await pool_harness.open(tools.respond_with(OK + extra, OK), tools.keep_responding(OK))
    for _ in range(3):
        result, receiver = await pool_harness.call(pool)
        assert (result.complete, receiver.body) == (True, b"ok")
    assert pool_harness.upstream.connections == 2


@pytest_twisted.ensureDeferred
async def test_bytes_on_an_idle_connection_close_it(pool_harness, tools) -> None:
    async def write_twice(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        writer.write(OK)
        await asyncio.sleep(0.05)
        writer.write(OK.replace(b"ok", b"!!"))
        await reader.read()

    pool = await pool_harness.open(write_twice, tools.keep_responding(OK))
    await pool_harness.call(pool)
    assert pool.idle_connections == 1
    await tools.wait_until(lambda: pool.idle_connections == 0)
    _, receiver = await pool_harness.call(pool)
    assert receiver.body == b"ok"


@pytest_twisted.ensureDeferred
async def test_a_connection_that_died_while_idle_is_not_used(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.respond_with(OK), tools.keep_responding(OK))
    await pool_harness.call(pool)
    (connection,) = pool.connections
    # The kernel has received the close, but the reactor has not seen it yet.
    connection.pause_reading()
    await tools.wait_until(lambda: pool_harness.upstream.ended == 1)
    await tools.pause(0.02)
    assert pool.idle_connections == 1
    result, _ = await pool_harness.call(pool, b"POST")
    assert (result.complete, pool_harness.upstream.connections) == (True, 2)


# Guards against a write to a closed transport, which raises an error or loses a call that may run.
@pytest_twisted.ensureDeferred
async def test_a_connection_whose_end_is_still_to_be_reported_is_not_used(
    pool_harness, tools
) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    await pool_harness.call(pool)
    (connection,) = pool.connections
    connection._transport.abort()
    result, _ = await pool_harness.call(pool, b"POST")
    assert (result.verdict, result.complete) == (Verdict.RAN, True)
    assert pool_harness.upstream.connections == 2


@pytest_twisted.ensureDeferred
async def test_a_call_on_a_connection_that_has_just_ended_has_not_run(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    await pool_harness.call(pool)
    (connection,) = pool.connections
    pool.reserve_idle(connection)
    connection._transport.abort()
    receiver = tools.Receiver()
    Attempt(tools.make_call(b"POST", body=b"x"), receiver).start_on(connection)
    result = await receiver.done
    assert (result.verdict, result.error) == (Verdict.NOT_RUN, ErrorCode.UPSTREAM_LOST)


@pytest_twisted.ensureDeferred
async def test_only_idempotent_calls_use_a_long_idle_connection(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK), max_non_idempotent_idle_s=-1)
    await pool_harness.call(pool)
    await pool_harness.call(pool)
    assert pool_harness.upstream.connections == 1
    await pool_harness.call(pool, b"POST", idempotent=False)
    assert pool_harness.upstream.connections == 2


@pytest_twisted.ensureDeferred
async def test_a_call_without_a_free_connection_is_not_run(pool_harness, tools) -> None:
    async def wait(upstream, reader, writer) -> None:
        await reader.read()

    pool = await pool_harness.open(wait, size=2)
    for _ in range(2):
        pool.send(tools.make_call(), tools.Receiver())
    result, _ = await pool_harness.call(pool)
    assert (result.verdict, result.error) == (Verdict.NOT_RUN, ErrorCode.OVERLOADED)
    await tools.wait_until(lambda: pool_harness.upstream.connections == 2)
    assert pool.busy_connections == 2


@pytest.mark.parametrize(
    ("method", "response"),
    [
        (b"HEAD", b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n"),
        (b"HEAD", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"),
        (b"GET", b"HTTP/1.1 204 No\r\n\r\n"),
        (b"GET", b"HTTP/1.1 304 No\r\ncontent-length: 500\r\n\r\n"),
        (b"GET", b"HTTP/1.1 103 Early\r\na: b\r\n\r\nHTTP/1.1 204 No\r\n\r\n"),
    ],
)
@pytest_twisted.ensureDeferred
async def test_responses_without_a_body_end_at_once(
    pool_harness, tools, method: bytes, response: bytes
) -> None:
    pool = await pool_harness.open(tools.respond_with(response, OK))
    result, receiver = await pool_harness.call(pool, method)
    assert (result.complete, receiver.body, len(receiver.heads)) == (True, b"", 1)
    result, receiver = await pool_harness.call(pool)
    assert (result.complete, receiver.body) == (True, b"ok")
    assert pool_harness.upstream.connections == 1


@pytest_twisted.ensureDeferred
async def test_a_slow_reader_stops_the_response(pool_harness, tools) -> None:
    length = 200 * 1024 * 1024
    sent = [0]

    async def stream_large_response(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
        while sent[0] < length:
            writer.write(b"x" * 65536)
            sent[0] += 65536
            await writer.drain()
        await reader.read()

    class CountingReceiver(tools.Receiver):
        received = 0

        def receive_body(self, data: bytes) -> None:
            self.received += len(data)

    pool = await pool_harness.open(stream_large_response)
    receiver = CountingReceiver()
    attempt = pool.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: receiver.received > 0)
    attempt.pause_body()
    paused_at = receiver.received
    before = -1
    while sent[0] != before:
        before = sent[0]
        await tools.pause(0.1)
    assert receiver.received == paused_at
    # Only the kernel's buffers of both sockets may hold data in transit.
    assert sent[0] - receiver.received < 16 * 1024 * 1024
    attempt.resume_body()
    result = await receiver.done
    assert (result.complete, receiver.received) == (True, length)


@pytest_twisted.ensureDeferred
async def test_an_upstream_that_reads_slowly_pauses_the_source(pool_harness, tools) -> None:
    class Source:
        paused = False

        def pause_body(self) -> None:
            self.paused = True

        def resume_body(self) -> None:
            self.paused = False

    may_read = asyncio.get_event_loop().create_future()
    received = [0]

    async def read_later(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        await may_read
        while received[0] < length:
            received[0] += len(await reader.read(65536))
        writer.write(OK)
        await reader.read()

    length = 64 * 1024 * 1024
    pool = await pool_harness.open(read_later)
    source = Source()
    receiver = tools.Receiver()
    attempt = pool.send(
        tools.make_call(b"PUT", streamed=True, body_length=length, source=source, idempotent=False),
        receiver,
    )
    written = 0
    attempt.write_body(b"x" * 65536)
    written += 65536
    assert source.paused
    await tools.wait_until(lambda: not source.paused)
    while written < length:
        if source.paused:
            if not may_read.done():
                assert written < 16 * 1024 * 1024
                may_read.set_result(None)
            await tools.pause(0)
            continue
        attempt.write_body(b"x" * 65536)
        written += 65536
    attempt.end_body()
    result = await receiver.done
    assert (result.complete, received[0]) == (True, length)


@pytest_twisted.ensureDeferred
async def test_a_chunked_request_body_is_framed(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.respond_with(OK))
    receiver = tools.Receiver()
    attempt = pool.send(tools.make_call(b"PUT", streamed=True, body_length=None), receiver)
    attempt.write_body(b"abc")
    attempt.end_body()
    await receiver.done
    assert b"transfer-encoding: chunked" in pool_harness.upstream.requests[0]


@pytest_twisted.ensureDeferred
async def test_a_response_before_the_request_is_complete_closes_the_connection(
    pool_harness, tools
) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    receiver = tools.Receiver()
    attempt = pool.send(tools.make_call(b"PUT", streamed=True, body_length=9), receiver)
    attempt.write_body(b"abc")
    result = await receiver.done
    attempt.write_body(b"defghi")
    attempt.end_body()
    assert (result.complete, pool.open_connections) == (True, 0)


@pytest_twisted.ensureDeferred
async def test_a_closed_pool_lets_running_calls_end(pool_harness, tools) -> None:
    async def respond_late(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        await asyncio.sleep(0.1)
        writer.write(OK)
        await reader.read()

    pool = await pool_harness.open(respond_late)
    receiver = tools.Receiver()
    pool.send(tools.make_call(), receiver)
    await tools.wait_until(lambda: len(pool_harness.upstream.requests) == 1)
    pool.close()
    assert (await receiver.done).complete
    assert pool.open_connections == 0
    result, _ = await pool_harness.call(pool)
    assert result.verdict is Verdict.NOT_RUN


@pytest_twisted.ensureDeferred
async def test_concurrent_calls_get_their_own_responses(pool_harness, tools) -> None:
    async def echo(upstream, reader, writer) -> None:
        while True:
            head = await upstream.read_request(reader)
            target = head.split(b" ")[1]
            await asyncio.sleep(0.001 * (len(upstream.requests) % 7))
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(target) + target)

    pool = await pool_harness.open(echo, size=50)
    receivers = [tools.Receiver() for _ in range(50)]
    for _ in range(4):
        receivers = [tools.Receiver() for _ in range(50)]
        for i, receiver in enumerate(receivers):
            pool.send(tools.make_call(target=b"/%d" % i), receiver)
        for i, receiver in enumerate(receivers):
            await receiver.done
            assert receiver.body == b"/%d" % i


def test_a_new_pool_has_no_connections() -> None:
    pool = UpstreamPool(Address(host="127.0.0.1", port=1), 3)
    assert (pool.open_connections, pool.idle_connections, pool.busy_connections) == (0, 0, 0)


@pytest_twisted.ensureDeferred
async def test_a_lower_limit_closes_idle_connections_at_once(pool_harness, tools) -> None:
    pool = await pool_harness.open(tools.keep_responding(OK))
    await pool_harness.call(pool)
    assert pool.idle_connections == 1
    pool.max_connections = 0
    assert (pool.idle_connections, pool.open_connections) == (0, 0)


def drop_after_first(response: bytes):
    """Respond once, and reset the connection at the next request."""

    async def run(upstream, reader, writer) -> None:
        await upstream.read_request(reader)
        writer.write(response)
        await upstream.read_request(reader)
        writer.transport.abort()

    return run


@pytest_twisted.ensureDeferred
async def test_only_a_rested_connection_that_breaks_at_once_counts_as_dropped(
    pool_harness, tools
) -> None:
    """Guards against a lesson from a reset that has nothing to do with the rest."""
    pool = await pool_harness.open(drop_after_first(OK))
    for rest_s, dropped in ((0.0, False), (0.06, True)):
        await pool_harness.call(pool)
        await tools.pause(rest_s)
        receiver = tools.Receiver()
        attempt = pool.send(tools.make_call(), receiver)
        assert (await receiver.done).verdict is Verdict.MAY_HAVE_RUN
        assert attempt.dropped is dropped


@pytest_twisted.ensureDeferred
async def test_a_call_on_a_fresh_connection_takes_the_place_of_a_rested_one(
    pool_harness, tools
) -> None:
    """Guards against a second request on a connection that was forgotten like the first one."""
    pool = await pool_harness.open(tools.keep_responding(OK), size=2)
    pool.warm(2)
    await tools.wait_until(lambda: pool.idle_connections == 2)
    receiver = tools.Receiver()
    pool.send(tools.make_call(), receiver, fresh=True)
    assert (await receiver.done).complete
    assert (pool_harness.upstream.connections, pool.open_connections) == (3, 2)
