import random

import pytest

GET = b"GET /t%d HTTP/1.1\r\nHost: h\r\n\r\n"
PUT = b"PUT /t%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"


class Source:
    """The source of a streamed response."""

    def __init__(self) -> None:
        self.paused = False

    def pause_body(self) -> None:
        self.paused = True

    def resume_body(self) -> None:
        self.paused = False


@pytest.fixture
def make_pipelining_harness(make_server_harness):
    return lambda **limits: make_server_harness(**{"max_concurrent_calls": 4, **limits})


@pytest.fixture
def harness(make_pipelining_harness):
    return make_pipelining_harness()


def list_statuses(harness) -> list[bytes]:
    return [part[:3] for part in harness.written.split(b"HTTP/1.1 ")[1:]]


def feed_gets(harness, count: int) -> None:
    harness.feed(b"".join(GET % i for i in range(count)))


@pytest.mark.parametrize("seed", range(20))
def test_calls_that_end_in_any_order_are_answered_in_order(harness, seed: int) -> None:
    """Guards against a response that is written before one of an earlier request."""
    rng = random.Random(seed)
    feed_gets(harness, 10)
    assert len(harness.calls) == 4
    unanswered = [0, 1, 2, 3]
    answered = 0
    while answered < 10:
        call = harness.calls[unanswered.pop(rng.randrange(len(unanswered)))]
        if rng.random() < 0.5:
            call.respond(200, [], call.target)
        else:
            call.start_response(200, [], None)
            call.write_body(call.target)
            call.end_response()
        answered += 1
        unanswered = [i for i, call in enumerate(harness.calls) if call.is_open]
    offsets = [harness.written.find(b"/t%d" % i) for i in range(10)]
    assert offsets == sorted(offsets)
    assert -1 not in offsets
    assert (harness.state.running_calls, harness.state.pipelining.buffered_bytes) == (0, 0)
    assert harness.transport.reading


def test_a_call_that_runs_alone_is_started_and_passed_in_turn(harness) -> None:
    """Guards against a write that runs beside the reads before or behind it."""
    started = []
    harness.handler.respond = lambda call: (
        call.run_alone(lambda: started.append(call.target)) if call.method == b"PUT" else None
    )
    harness.feed(GET % 0 + PUT % 1 + b"hello" + GET % 2)
    assert ([call.target for call in harness.calls], started) == ([b"/t0", b"/t1"], [])
    harness.calls[0].respond(200, [])
    assert started == [b"/t1"]
    assert len(harness.calls) == 2
    harness.calls[1].respond(200, [])
    assert [call.target for call in harness.calls] == [b"/t0", b"/t1", b"/t2"]


def test_full_buffers_stop_new_calls_reading_and_sources(make_pipelining_harness) -> None:
    """Guards against memory that grows with what a caller pipelines behind a slow call."""
    harness = make_pipelining_harness(response_buffer_bytes=1000)
    feed_gets(harness, 2)
    source = Source()
    harness.calls[1].start_response(200, [], None, source)
    harness.calls[1].write_body(b"x" * 1000)
    assert source.paused
    harness.feed(GET % 2)
    assert (len(harness.calls), harness.transport.reading) == (2, False)
    assert harness.written == b""
    harness.calls[0].respond(200, [])
    assert not source.paused
    assert (len(harness.calls), harness.transport.reading) == (3, True)
    assert harness.state.pipelining.buffered_bytes == 0


def test_the_buffers_of_all_connections_are_bounded(make_pipelining_harness) -> None:
    """Guards against many connections that each fill their own buffer."""
    harness = make_pipelining_harness(max_response_buffer_bytes=1000)
    harness.state.pipelining.buffered_bytes = 1000
    feed_gets(harness, 2)
    assert len(harness.calls) == 1
    harness.calls[0].respond(200, [])
    assert len(harness.calls) == 2


def test_a_caller_that_reads_no_responses_gets_no_more_calls_run(harness) -> None:
    """Guards against responses that pile up behind a caller that only sends."""
    harness.handler.respond = lambda call: call.respond(200, [])
    harness.connection.pause_writing()
    feed_gets(harness, 3)
    assert (harness.calls, harness.transport.reading) == ([], False)
    harness.connection.resume_writing()
    assert (len(harness.calls), harness.transport.reading) == (3, True)


def test_a_caller_that_leaves_cancels_all_its_calls(harness) -> None:
    """Guards against calls that go on running for a caller that is gone."""
    feed_gets(harness, 5)
    left = []
    for call in harness.calls:
        call.on_disconnect = lambda target=call.target: left.append(target)
    harness.calls[2].respond(200, [], b"unread")
    harness.connection.connection_lost(None)
    assert left == [b"/t0", b"/t1", b"/t3"]
    assert (harness.state.running_calls, harness.state.pipelining.buffered_bytes) == (0, 0)


def test_a_truncated_response_resets_the_connection_and_cancels_the_rest(harness) -> None:
    """Guards against a truncated response that is followed by another one."""
    feed_gets(harness, 3)
    left = []
    harness.calls[1].on_disconnect = lambda: left.append(1)
    harness.calls[2].respond(200, [], b"behind")
    harness.calls[0].start_response(200, [], 9)
    harness.calls[0].abort_response()
    assert (harness.transport.aborted, left) == (True, [1])
    assert b"behind" not in harness.written
    assert harness.state.running_calls == 0


def test_an_unsent_response_that_is_aborted_becomes_a_502(harness) -> None:
    """Guards against a reset that takes the whole responses before it along."""
    feed_gets(harness, 3)
    harness.calls[1].start_response(200, [], 9)
    harness.calls[1].write_body(b"part")
    harness.calls[1].abort_response()
    harness.calls[2].respond(200, [])
    harness.calls[0].respond(200, [])
    assert list_statuses(harness) == [b"200", b"502", b"200"]
    assert b"part" not in harness.written
    assert not harness.transport.closed


def test_a_refused_head_is_answered_behind_all_running_calls(harness) -> None:
    """Guards against a 400 that overtakes the responses to good requests."""
    harness.feed(GET % 0 + GET % 1 + b"nonsense\r\n\r\n")
    harness.calls[1].respond(200, [])
    assert harness.written == b""
    harness.calls[0].respond(200, [])
    assert list_statuses(harness) == [b"200", b"200", b"400"]
    assert harness.transport.eof


def test_a_refused_body_behind_a_running_call_cancels_only_its_own(
    make_pipelining_harness, make_sink
) -> None:
    """Guards against a body over the limit that ends the calls before it."""
    harness = make_pipelining_harness(max_body_bytes=4)
    chunked = PUT.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked") % 1
    harness.feed(GET % 0 + chunked + b"3\r\nabc\r\n")
    sink = make_sink()
    harness.calls[1].read_body(sink)
    harness.feed(b"2\r\nde\r\n0\r\n\r\n")
    assert (sink.aborted, harness.calls[0].is_open) == (True, True)
    harness.calls[0].respond(200, [])
    assert list_statuses(harness) == [b"200", b"413"]


def test_a_response_that_closes_waits_and_nothing_runs_behind_it(harness) -> None:
    """Guards against calls that run although their responses can't be sent."""
    harness.feed(GET % 0 + PUT % 1 + b"he")
    harness.calls[1].respond(409, [], b"no")
    harness.feed(b"llo" + GET % 2)
    assert (len(harness.calls), harness.transport.closed) == (2, False)
    harness.calls[0].respond(200, [])
    assert list_statuses(harness) == [b"200", b"409"]
    assert b"connection: close" in harness.written
    assert len(harness.calls) == 2
    assert harness.transport.closed
    assert harness.state.running_calls == 0


def test_a_stalled_body_behind_a_call_does_not_end_that_call(harness) -> None:
    """Guards against the timeout of a body that aborts a slow call before it."""
    harness.feed(GET % 0 + PUT % 1 + b"he")
    assert harness.connection.deadline == float("inf")
    harness.calls[0].respond(200, [])
    assert harness.connection.deadline < float("inf")


def test_a_request_that_expects_100_continue_is_handled_as_the_first_only(harness) -> None:
    """Guards against an interim response between the parts of another response."""
    expecting = PUT.replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n") % 1
    harness.feed(GET % 0 + expecting)
    assert len(harness.calls) == 1
    harness.calls[0].respond(200, [])
    assert len(harness.calls) == 2


def test_a_drain_answers_what_was_read_and_closes_behind_the_last(harness) -> None:
    """Guards against a stop that loses calls that run or wait behind the first."""
    feed_gets(harness, 5)
    harness.state.draining = True
    for call in reversed(harness.calls):
        call.respond(200, [])
    assert list_statuses(harness) == [b"200"] * 4
    assert len(harness.calls) == 5
    harness.calls[4].respond(200, [])
    assert list_statuses(harness) == [b"200"] * 5
    assert harness.written.count(b"connection: close") == 1
    assert harness.transport.closed
    assert (len(harness.calls), harness.state.ended_calls, harness.state.running_calls) == (5, 5, 0)


def test_a_head_response_and_a_304_behind_others_have_no_body(harness) -> None:
    """Guards against a body that would be read as the next response."""
    harness.feed(GET % 0 + (GET % 1).replace(b"GET", b"HEAD") + GET % 2)
    harness.calls[2].respond(304, [], b"hello")
    harness.calls[1].respond(200, [], b"hello")
    harness.calls[0].respond(200, [])
    assert list_statuses(harness) == [b"200", b"200", b"304"]
    assert b"hello" not in harness.written


def test_a_caller_that_reads_nothing_has_a_deadline_also_after_a_refused_head(harness) -> None:
    """Guards against connections that stay for ever, each with calls that wait for the caller."""
    harness.connection.pause_writing()
    harness.feed(GET % 0 + b"nonsense\r\n\r\n")
    assert harness.connection.deadline < float("inf")
    harness.connection.resume_writing()
    assert harness.connection.deadline == float("inf")
    harness.calls[0].respond(200, [])
    assert list_statuses(harness) == [b"200", b"400"]
