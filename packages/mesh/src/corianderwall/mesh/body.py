"""Reads the body of an incoming request into memory."""

from twisted.internet.defer import Deferred

from corianderwall.httpflow.call import IncomingCall


class BodyReader:
    """Collects a body of at most `limit` bytes; yields None if it is longer or incomplete."""

    def __init__(self, call: IncomingCall, limit: float) -> None:
        self._call = call
        self._limit = limit
        self._chunks: list[bytes] = []
        self._size = 0
        self._done: Deferred[bytes | None] = Deferred()

    async def read(self) -> bytes | None:
        """Return the body once it is complete, or None."""
        whole = self._call.take_body()
        if whole is not None:
            return whole
        self._call.read_body(self)
        return await self._done

    def write_body(self, data: bytes) -> None:
        """Store the next bytes of the body."""
        self._size += len(data)
        if self._size > self._limit:
            self.abort_body()
            return
        self._chunks.append(data)

    def end_body(self) -> None:
        """Finish reading, as the body is complete."""
        if not self._done.called:
            self._done.callback(b"".join(self._chunks))

    def abort_body(self) -> None:
        """Finish reading without a body, as the rest of it will not arrive."""
        if not self._done.called:
            self._done.callback(None)
