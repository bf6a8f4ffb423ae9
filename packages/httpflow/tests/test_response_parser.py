import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.httpflow.attempt import ResponseHead
from corianderwall.httpflow.limits import ClientLimits
from corianderwall.httpflow.response_parser import InvalidResponseError, ResponseParser

LIMITS = ClientLimits(max_head_bytes=200, max_headers=5)
RESPONSES = [
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    b"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: u\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
]


class Events:
    def __init__(self) -> None:
        self.heads: list[ResponseHead] = []
        self.body = b""
        self.continues = 0

    def receive_continue(self) -> None:
        self.continues += 1

    def receive_head(self, head: ResponseHead) -> None:
        self.heads.append(head)

    def receive_body(self, data: bytes) -> None:
        self.body += data


@pytest.mark.parametrize("response", RESPONSES)
def test_a_split_at_any_byte_gives_the_same_response(response: bytes) -> None:
    for cut in range(1, len(response)):
        events = Events()
        parser = ResponseParser(events, ClientLimits())
        parser.expect(head_only=False)
        parser.feed(response[:cut])
        assert not parser.responded
        parser.feed(response[cut:])
        assert (parser.responded, parser.reusable, events.body) == (True, True, b"hello"), cut


def test_only_the_status_100_asks_for_the_body() -> None:
    events = Events()
    parser = ResponseParser(events, ClientLimits())
    parser.expect(head_only=False)
    parser.feed(b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
    assert (events.continues, events.heads, parser.responded) == (1, [], False)


PIECES = [
    *RESPONSES,
    b"HTTP/1.1 200 OK\r\n",
    b"content-length: 9\r\n",
    b"\r\n",
    b"a: b\r\n",
    b"5\r\n",
]


@settings(derandomize=True, max_examples=400)
@given(
    st.lists(st.one_of(st.sampled_from(PIECES), st.binary(max_size=60)), max_size=10),
    st.integers(0, 99),
)
def test_random_bytes_never_give_a_second_response_or_grow(pieces: list[bytes], seed: int) -> None:
    events = Events()
    parser = ResponseParser(events, LIMITS)
    parser.expect(head_only=False)
    rng = random.Random(seed)
    stream = b"".join(pieces)
    while stream:
        size = rng.randint(1, 50)
        part, stream = stream[:size], stream[size:]
        had_response = parser.responded
        try:
            parser.feed(part)
        except InvalidResponseError:
            break
        assert not had_response or part.strip(b"\r\n") == b""
    assert len(events.heads) <= 1
    assert (
        sum(len(name) + len(value) for head in events.heads for name, value in head.headers) <= 200
    )


# Guards against a single read that holds thousands of headers.
@pytest.mark.parametrize(
    "before", [b"", b"transfer-encoding: chunked\r\n\r\n0\r\n"], ids=["head", "trailers"]
)
def test_headers_of_one_piece_are_counted_as_they_come(before: bytes) -> None:
    parser = ResponseParser(Events(), ClientLimits())
    parser.expect(head_only=False)
    with pytest.raises(InvalidResponseError, match="too many headers"):
        parser.feed(b"HTTP/1.1 200 OK\r\n" + before + b"a: b\r\n" * 40_000)
    assert len(parser._received) <= ClientLimits().max_headers


def test_chunks_of_a_byte_are_refused_once_they_are_many() -> None:
    parser = ResponseParser(Events(), ClientLimits())
    parser.expect(head_only=False)
    parser.feed(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    limit = ClientLimits().max_framing_bytes
    with pytest.raises(InvalidResponseError, match="share"):
        for _ in range(limit // 500):
            parser.feed(b"1\r\nx\r\n" * 1000)


def test_a_large_body_may_have_more_framing() -> None:
    parser = ResponseParser(Events(), ClientLimits())
    parser.expect(head_only=False)
    parser.feed(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    chunk = b"40\r\n" + b"x" * 64 + b"\r\n"
    for _ in range(100):
        parser.feed(chunk * 1000)
    parser.feed(b"0\r\n\r\n")
    assert parser.responded


def test_an_endless_head_is_refused_while_it_comes() -> None:
    parser = ResponseParser(Events(), LIMITS)
    parser.expect(head_only=False)
    parser.feed(b"HTTP/1.1 200 OK\r\n")
    with pytest.raises(InvalidResponseError):
        for _ in range(300):
            parser.feed(b"a")
