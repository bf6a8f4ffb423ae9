"""Writes the responses of an upstream stand-in, with the faults that a test requests."""

import asyncio

from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.flow import Headers
from corianderwall.standins.upstream_settings import Fault

CHUNK_BYTES = 64 * 1024
MAX_UNSTREAMED_BYTES = CHUNK_BYTES


def make_body(seed: bytes, length: int) -> bytes:
    """Return `length` bytes that identify the call they belong to."""
    pattern = seed + b"."
    return (pattern * (length // len(pattern) + 1))[:length]


class ResponseWriter:
    """Streams one long response at the pace of its reader."""

    def __init__(self, call: IncomingCall, seed: bytes, length: int) -> None:
        self._call = call
        self._remaining = length
        self._paused = False
        self._scheduled = False
        self._loop = asyncio.get_event_loop()
        # A chunk holds whole repetitions of the pattern, so all chunks but the last are equal.
        pattern = len(seed) + 1
        self._chunk = make_body(seed, pattern * (CHUNK_BYTES // pattern or 1))

    def start(self, headers: Headers, *, chunked: bool) -> None:
        """Send the head of the response and start to stream its body."""
        self._call.start_response(200, headers, None if chunked else self._remaining, self)
        self._schedule()

    def pause_body(self) -> None:
        """Pause writing while the reader is slow."""
        self._paused = True

    def resume_body(self) -> None:
        """Resume writing."""
        self._paused = False
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled and not self._paused:
            self._scheduled = True
            self._loop.call_soon(self._write)

    def _write(self) -> None:
        self._scheduled = False
        if not self._call.is_open:
            return
        data = self._chunk[: self._remaining]
        self._remaining -= len(data)
        self._call.write_body(data)
        if self._remaining:
            self._schedule()
        else:
            self._call.end_response()


def write_faulty_response(call: IncomingCall, fault: Fault, headers: Headers, body: bytes) -> None:
    """Respond with a fault that affects the bytes of the response."""
    connection = call.connection
    if connection is None:
        return
    if fault is Fault.CLOSE_RUN:
        connection.abort()
    elif fault in (Fault.CLOSE_IN_ANSWER, Fault.TRUNCATE):
        call.start_response(200, headers, len(body) + 1)
        call.write_body(body)
        if fault is Fault.TRUNCATE:
            connection.close()
        else:
            asyncio.get_event_loop().call_later(0.01, connection.abort)
    elif fault is Fault.CLOSE_AFTER:
        call.respond(200, headers, body)
        connection.close()
    elif fault is Fault.DOUBLE:
        call.respond(200, headers, body)
        connection.write(b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond")
    else:
        call.respond(200, headers, body)
