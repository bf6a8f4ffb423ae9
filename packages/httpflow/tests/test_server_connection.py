import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

HEAD = b"GET /a HTTP/1.1\r\nHost: h\r\n"
GET = HEAD + b"\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"


def test_a_request_is_handed_on_whole(harness, make_sink) -> None:
    harness.feed(b"POST /a?b HTTP/1.1\r\nHost: h\r\nX-Y: z\r\nContent-Length: 5\r\n\r\nhello")
    (call,) = harness.calls
    assert (call.method, call.target, call.host) == (b"POST", b"/a?b", b"h")
    assert call.headers == [(b"host", b"h"), (b"x-y", b"z")]
    assert call.take_body() == b"hello"
    call.respond(200, [(b"x-a", b"b")], b"answer")
    assert harness.written == b"HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 6\r\n\r\nanswer"
    assert not harness.transport.closed


def test_a_split_at_any_byte_gives_the_same_calls(make_server_harness) -> None:
    chunked = (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n"
    )
    stream = POST + chunked + GET
    for cut in range(1, len(stream)):
        harness = make_server_harness()
        bodies = []

        def respond(call, bodies=bodies) -> None:
            bodies.append((call.method, call.take_body()))
            call.respond(204, [])

        harness.feed(stream[:cut], stream[cut:])
        for call in harness.calls:
            respond(call)
        assert bodies == [(b"POST", b"hello"), (b"GET", b"abcde"), (b"GET", b"")], cut


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: 3, 4\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: +3\r\n\r\nabc", 400),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n", 400),
        (b"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"A: b\r\n c\r\n\r\n", 400),
        (HEAD + b"A: b\rc\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\nHost: h\n\n", 400),
        (HEAD + b"A : b\r\n\r\n", 400),
        (HEAD + b"Host: other\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", 505),
        (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 501),
        (HEAD + b"Connection: upgrade\r\nUpgrade: x\r\nContent-Length: 3\r\n\r\nabc", 400),
        (HEAD + b"Expect: something\r\n\r\n", 417),
    ],
)
def test_an_ambiguous_request_is_refused(harness, request_bytes: bytes, status: int) -> None:
    harness.feed(request_bytes + GET)
    assert harness.written.startswith(b"HTTP/1.1 %d " % status)
    assert b"connection: close" in harness.written
    assert all(call.method != b"GET" or not call.is_open for call in harness.calls)
    assert harness.transport.eof


@pytest.mark.parametrize(
    ("limit", "stream", "status"),
    [
        ({"max_head_bytes": 100}, HEAD + b"A: " + b"b" * 200, 431),
        ({"max_head_bytes": 100}, HEAD + b"A: " + b"b" * 80 + b"\r\n\r\n", 431),
        ({"max_headers": 2}, HEAD + b"A: b\r\nC: d\r\n\r\n", 431),
        ({"max_body_bytes": 4}, POST, 413),
        (
            {"max_body_bytes": 4},
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            413,
        ),
        (
            {"max_head_bytes": 100},
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n3;" + b"x" * 200,
            431,
        ),
    ],
)
def test_a_limit_is_enforced(make_server_harness, limit: dict, stream: bytes, status: int) -> None:
    harness = make_server_harness(**limit)
    for i in range(len(stream)):
        harness.feed(stream[i : i + 1])
    assert b"HTTP/1.1 %d " % status in harness.written


def test_a_large_head_is_refused_even_if_it_comes_at_once(make_server_harness) -> None:
    harness = make_server_harness(max_head_bytes=100)
    harness.feed(HEAD + b"A: " + b"b" * 60 + b"\r\nC: " + b"d" * 60 + b"\r\n\r\n")
    assert harness.written.startswith(b"HTTP/1.1 431 ")
    assert harness.calls == []


def test_pipelined_calls_get_their_responses_in_order(harness) -> None:
    harness.feed(b"".join(GET.replace(b"/a", b"/%d" % i) for i in range(3)))
    assert [call.target for call in harness.calls] == [b"/0"]
    assert not harness.transport.reading
    harness.calls[0].respond(200, [], b"0")
    harness.calls[1].respond(200, [], b"1")
    harness.calls[2].respond(200, [], b"2")
    bodies = [response[-1:] for response in harness.written.split(b"HTTP/1.1 ")[1:]]
    assert bodies == [b"0", b"1", b"2"]
    assert harness.transport.reading


def test_a_bad_request_after_a_good_one_does_not_affect_its_response(harness) -> None:
    harness.feed(GET + b"nonsense\r\n\r\n")
    assert harness.written == b""
    harness.calls[0].respond(200, [], b"good")
    good, bad = harness.written.split(b"HTTP/1.1 ")[1:]
    assert good.endswith(b"good")
    assert bad.startswith(b"400")


def test_a_body_is_read_no_faster_than_its_sink_takes_it(make_server_harness, make_sink) -> None:
    harness = make_server_harness(body_buffer_bytes=1000)
    harness.feed(HEAD.replace(b"GET", b"PUT") + b"Content-Length: 5000\r\n\r\n" + b"x" * 600)
    assert harness.transport.reading
    harness.feed(b"x" * 600)
    assert not harness.transport.reading
    sink = make_sink()
    harness.calls[0].read_body(sink)
    assert (len(sink.body), harness.transport.reading) == (1200, True)
    harness.calls[0].pause_body()
    assert not harness.transport.reading
    harness.calls[0].resume_body()
    harness.feed(b"x" * 3800)
    assert (len(sink.body), sink.ended) == (5000, True)


def test_100_continue_is_sent_only_when_the_body_is_read(harness, make_sink) -> None:
    harness.feed(POST[:-5].replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"))
    assert harness.written == b""
    sink = make_sink()
    harness.calls[0].read_body(sink)
    assert harness.written == b"HTTP/1.1 100 Continue\r\n\r\n"
    harness.feed(b"hello")
    assert sink.body == b"hello"


def test_a_response_before_the_end_of_the_body_closes(harness) -> None:
    harness.feed(POST[:-2])
    harness.calls[0].respond(409, [], b"no")
    assert b"connection: close" in harness.written
    assert harness.transport.eof
    harness.feed(b"lo" + GET)
    assert len(harness.calls) == 1


def test_hop_by_hop_headers_are_dropped_both_ways(harness) -> None:
    harness.feed(HEAD + b"Connection: x-mine\r\nX-Mine: 1\r\nTE: trailers\r\nKeep-Alive: 5\r\n\r\n")
    assert harness.calls[0].headers == [(b"host", b"h")]
    harness.calls[0].respond(200, [(b"connection", b"x"), (b"content-length", b"9")], b"ok")
    assert harness.written == b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def test_a_line_break_in_a_response_header_is_not_written(harness) -> None:
    harness.feed(GET)
    with pytest.raises(ValueError, match="line break"):
        harness.calls[0].respond(200, [(b"a", b"b\r\nc: d")])
    assert harness.written == b""


def test_streamed_responses_are_framed_by_length_or_chunks(harness) -> None:
    harness.feed(GET + GET + GET)
    harness.calls[0].start_response(200, [], 4)
    harness.calls[0].write_body(b"abcd")
    harness.calls[0].end_response()
    harness.calls[1].start_response(200, [], None)
    harness.calls[1].write_body(b"abcd")
    harness.calls[1].end_response()
    first, second = harness.written.split(b"HTTP/1.1 200 OK\r\n")[1:]
    assert first == b"content-length: 4\r\n\r\nabcd"
    assert second == b"transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"


@pytest.mark.parametrize("data", [b"abc", b"abcde"])
def test_a_response_of_another_length_than_announced_is_reset(harness, data: bytes) -> None:
    harness.feed(GET)
    harness.calls[0].start_response(200, [], 4)
    harness.calls[0].write_body(data)
    harness.calls[0].end_response()
    assert harness.transport.aborted


def test_an_aborted_response_resets_the_connection(harness) -> None:
    harness.feed(GET + GET)
    harness.calls[0].start_response(200, [], None)
    harness.calls[0].write_body(b"part")
    harness.calls[0].abort_response()
    assert harness.transport.aborted
    assert b"0\r\n\r\n" not in harness.written
    assert (len(harness.calls), harness.state.running_calls) == (1, 0)


def test_no_body_is_written_where_none_may_be(harness) -> None:
    harness.feed(GET.replace(b"GET", b"HEAD") + GET)
    harness.calls[0].respond(200, [], b"hello")
    harness.calls[1].respond(304, [], b"hello")
    assert b"hello" not in harness.written
    assert harness.written.count(b"content-length: 5") == 1


def test_an_http_1_0_connection_is_closed_after_its_response(harness) -> None:
    harness.feed(b"GET / HTTP/1.0\r\n\r\n")
    harness.calls[0].start_response(200, [], None)
    harness.calls[0].write_body(b"abc")
    harness.calls[0].end_response()
    assert harness.written == b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc"
    assert harness.transport.closed


def test_a_caller_that_disconnects_is_reported_once(harness, make_sink) -> None:
    harness.feed(POST[:-2])
    reports: list[int] = []
    sink = make_sink()
    harness.calls[0].on_disconnect = lambda: reports.append(1)
    harness.calls[0].read_body(sink)
    harness.connection.connection_lost(None)
    assert (reports, sink.aborted, harness.state.running_calls) == ([1], True, 0)
    harness.calls[0].respond(200, [])
    assert harness.written == b""


def test_a_slow_response_reader_pauses_the_source(harness) -> None:
    class Source:
        paused = False

        def pause_body(self) -> None:
            self.paused = True

        def resume_body(self) -> None:
            self.paused = False

    source = Source()
    harness.feed(GET)
    harness.calls[0].start_response(200, [], None, source)
    harness.connection.pause_writing()
    assert source.paused
    harness.connection.resume_writing()
    assert not source.paused


def test_a_slow_head_times_out_even_if_bytes_keep_arriving(harness) -> None:
    harness.feed(HEAD)
    deadline = harness.connection.deadline
    harness.feed(b"A: b\r\n")
    assert harness.connection.deadline == deadline
    harness.connection.expire()
    assert harness.written.startswith(b"HTTP/1.1 408 ")


def test_a_body_that_stops_coming_ends_the_call(harness, make_sink) -> None:
    harness.feed(POST[:-2])
    sink = make_sink()
    harness.calls[0].read_body(sink)
    assert harness.connection.deadline < float("inf")
    harness.connection.expire()
    harness.connection.connection_lost(None)
    assert (harness.transport.aborted, sink.aborted) == (True, True)


def test_a_body_that_is_not_read_has_no_deadline(harness, make_sink) -> None:
    harness.feed(POST[:-2])
    harness.calls[0].read_body(make_sink())
    harness.calls[0].pause_body()
    assert harness.connection.deadline == float("inf")


def test_a_caller_that_stops_reading_its_response_has_a_deadline(harness) -> None:
    harness.feed(GET)
    harness.calls[0].start_response(200, [], None)
    harness.connection.pause_writing()
    assert harness.connection.deadline < float("inf")
    harness.connection.resume_writing()
    assert harness.connection.deadline == float("inf")


def test_a_running_call_has_no_idle_deadline(harness) -> None:
    harness.feed(GET)
    assert harness.connection.deadline == float("inf")
    harness.calls[0].respond(200, [])
    assert harness.connection.deadline < float("inf")


def test_a_handler_that_fails_responds_500(harness) -> None:
    def fail(call) -> None:
        raise ValueError("broken")

    harness.handler.respond = fail
    harness.feed(GET)
    assert harness.written.startswith(b"HTTP/1.1 500 ")


PIECES = [GET, POST, HEAD, b"\r\n", b"Transfer-Encoding: chunked\r\n", b"5\r\nhello\r\n", b"0\r\n"]


@settings(
    derandomize=True,
    max_examples=300,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
@given(
    pieces=st.lists(st.one_of(st.sampled_from(PIECES), st.binary(max_size=40)), max_size=12),
    seed=st.integers(0, 99),
)
def test_random_bytes_never_break_the_order_or_the_limits(
    make_server_harness, pieces: list[bytes], seed: int
) -> None:
    harness = make_server_harness(max_head_bytes=200, max_headers=5, body_buffer_bytes=100)
    harness.handler.respond = lambda call: call.respond(200, [], call.target)
    stream = b"".join(pieces)
    rng = random.Random(seed)
    while stream:
        size = rng.randint(1, 50)
        harness.feed(stream[:size])
        stream = stream[size:]
    responses = harness.written.count(b"HTTP/1.1 200 ")
    assert responses == len(harness.calls)
    assert harness.written.count(b"HTTP/1.1 ") <= responses + 1
