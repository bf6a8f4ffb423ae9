"""Reads the whole body of an incoming request."""

from twisted.internet.defer import Deferred

from corianderwall.httpflow.call import IncomingCall


class BodyReader:
    """Collects at most `limit` bytes; a body that ends early or is too long gives None."""

    def __init__(self, call: IncomingCall, limit: float) -> None:
        self._call = call
        self._limit = limit
        self._chunks: list[bytes] = []
        self._size = 0
        self._done: Deferred[bytes | None] = Deferred()

    async def read(self) -> bytes | None:
        """Return the body once it is whole."""
        whole = self._call.take_body()
        if whole is not None:
            return whole
        self._call.read_body(self)
        return await self._done

    def write_body(self, data: bytes) -> None:
        """Take the next bytes."""
        self._size += len(data)
        if self._size > self._limit:
            self.abort_body()
            return
        self._chunks.append(data)

    def end_body(self) -> None:
        """Take note that the body is whole."""
        if not self._done.called:
            self._done.callback(b"".join(self._chunks))

    def abort_body(self) -> None:
        """Take note that the rest of the body will not come."""
        if not self._done.called:
            self._done.callback(None)
