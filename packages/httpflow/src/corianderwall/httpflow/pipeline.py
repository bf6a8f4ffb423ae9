"""Keeps the responses to pipelined requests in the order of the requests."""

from collections import deque
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from corianderwall.httpflow.call import IncomingCall
    from corianderwall.httpflow.limits import ServerLimits


class ResponseOutput(Protocol):
    """The connection that the responses are written to."""

    def write_all(self, buffers: Iterable[bytes]) -> None:
        """Write several buffers to the caller."""


class BufferCounter:
    """Counts what the connections of one server do with pipelined requests.

    `concurrent_calls` is how many calls were handed to the handler behind an unanswered one,
    `buffered_bytes` the size of the responses that wait for those before them.
    """

    def __init__(self) -> None:
        self.concurrent_calls = 0
        self.buffered_bytes = 0


class Pipeline:
    """The calls of a connection that the handler has got and whose responses are not all written.

    Only the response to the first call is written; those to the others are buffered. Once the
    buffers hold `response_buffer_bytes`, the sources of streamed responses are paused until their
    call is the first, and no more calls are handed to the handler.
    """

    def __init__(
        self, output: ResponseOutput, limits: "ServerLimits", counter: BufferCounter
    ) -> None:
        self._output = output
        self._limits = limits
        self._counter = counter
        self._calls: deque[IncomingCall] = deque()
        self._buffers: dict[IncomingCall, list[bytes]] = {}
        self._paused: set[IncomingCall] = set()
        self._buffered_bytes = 0
        self._closing: IncomingCall | None = None

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> "Iterator[IncomingCall]":
        return iter(self._calls)

    @property
    def first(self) -> "IncomingCall | None":
        """Return the call whose response is being written, None if no call runs."""
        return self._calls[0] if self._calls else None

    @property
    def has_buffered(self) -> bool:
        """Return whether responses wait for those before them."""
        return self._buffered_bytes > 0

    def is_last(self, call: "IncomingCall") -> bool:
        """Return whether the handler has got no call behind `call`."""
        return bool(self._calls) and self._calls[-1] is call

    def admits(self, call: "IncomingCall", *, draining: bool) -> bool:
        """Return whether the handler may get `call` now."""
        if self._closing is not None:
            return False
        if not self._calls:
            return True
        limits, counter = self._limits, self._counter
        return (
            len(self._calls) < limits.max_concurrent_calls
            # A drain ends only once nothing is handed over any more.
            and not draining
            # The caller sends the body only after all responses before it.
            and not call.expects_continue
            and not any(each.blocks_following and each.is_open for each in self._calls)
            and self._buffered_bytes < limits.response_buffer_bytes
            and counter.buffered_bytes < limits.max_response_buffer_bytes
        )

    def append(self, call: "IncomingCall") -> None:
        """Add a call that the handler is about to get."""
        if self._calls:
            self._counter.concurrent_calls += 1
        self._calls.append(call)

    def close_after(self, call: "IncomingCall") -> None:
        """Hand over no more calls, as the response to `call` closes the connection."""
        self._closing = call

    def closes_after(self, call: "IncomingCall") -> bool:
        """Return whether the response to `call` closes the connection."""
        return self._closing is call

    def write(self, call: "IncomingCall", buffers: tuple[bytes, ...]) -> None:
        """Write a part of the response to `call`, or buffer it."""
        if call is self.first:
            self._output.write_all(buffers)
            return
        self._buffers.setdefault(call, []).extend(buffers)
        self._count(sum(map(len, buffers)))
        self.update_source(call, write_paused=False)

    def update_source(self, call: "IncomingCall", *, write_paused: bool) -> None:
        """Pause or resume the source of the response to `call`."""
        source = call.response_source
        if source is None:
            return
        full = call is not self.first and (
            self._buffered_bytes >= self._limits.response_buffer_bytes
        )
        if (write_paused or full) and call not in self._paused:
            self._paused.add(call)
            source.pause_body()
        elif call is self.first and not write_paused and call in self._paused:
            self._paused.discard(call)
            source.resume_body()

    def discard_output(self, call: "IncomingCall") -> None:
        """Drop the buffered part of the response to `call`."""
        buffers = self._buffers.pop(call, ())
        self._count(-sum(map(len, buffers)))

    def remove(self, call: "IncomingCall") -> None:
        """Remove `call` and what is buffered for it."""
        self.discard_output(call)
        self._paused.discard(call)
        self._calls.remove(call)

    def remove_first(self) -> None:
        """Remove the first call and write what is buffered for the next one."""
        self.remove(self._calls[0])
        if not self._calls:
            return
        buffers = self._buffers.pop(self._calls[0], None)
        if buffers:
            self._count(-sum(map(len, buffers)))
            self._output.write_all(buffers)

    def clear(self) -> "list[IncomingCall]":
        """Remove all calls and return them."""
        calls = list(self._calls)
        for call in calls:
            self.remove(call)
        return calls

    def _count(self, size: int) -> None:
        self._buffered_bytes += size
        self._counter.buffered_bytes += size
