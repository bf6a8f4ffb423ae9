"""Reads the body of an incoming request into memory."""

import enum
import math

from twisted.internet.defer import Deferred

from corianderwall.httpflow.call import IncomingCall
from corianderwall.mesh.bodymemory import BodyMemory


class BodyFailure(enum.Enum):
    """The reason why a body was not read."""

    TOO_LARGE = "the body is too large"
    NO_MEMORY = "no memory for the body"
    LATE = "the body was not received in time"
    INCOMPLETE = "caller left"


class BodyReader:
    """Collects a body of at most `limit` bytes, and holds memory for it until `release`.

    `failure` says why there is no body.
    """

    def __init__(
        self, call: IncomingCall, limit: float = math.inf, memory: BodyMemory | None = None
    ) -> None:
        self.failure: BodyFailure | None = None
        self._call = call
        self._limit = limit
        self._memory = memory or BodyMemory()
        self._reserved = 0
        self._chunks: list[bytes] = []
        self._size = 0
        self._done: Deferred[bytes | None] = Deferred()

    def admit(self) -> bool:
        """Return whether a body of the announced length may be read, and reserve memory for it."""
        size = self._call.body_length or 0
        if size > self._limit:
            self.failure = BodyFailure.TOO_LARGE
            return False
        return self._reserve(size)

    async def read(self) -> bytes | None:
        """Return the body once it is complete, or None."""
        if self.failure is not None:
            return None
        whole = self._call.take_body()
        if whole is not None:
            self.write_body(whole)
            self.end_body()
            return await self._done
        self._call.read_body(self)
        return await self._done

    def release(self) -> None:
        """Release the memory of the body, which is no longer needed."""
        self._memory.release(self._reserved)
        self._reserved = 0

    def expire(self) -> None:
        """Give up the rest of the body, as it has not been received in time."""
        self._give_up(BodyFailure.LATE)

    def write_body(self, data: bytes) -> None:
        """Store the next bytes of the body."""
        if self._done.called:
            return
        self._size += len(data)
        if self._size > self._limit:
            self._give_up(BodyFailure.TOO_LARGE)
        elif self._size > self._reserved and not self._reserve(self._size - self._reserved):
            self._give_up(BodyFailure.NO_MEMORY)
        else:
            self._chunks.append(data)

    def end_body(self) -> None:
        """Finish reading, as the body is complete."""
        if not self._done.called:
            self._done.callback(b"".join(self._chunks))

    def abort_body(self) -> None:
        """Finish reading without a body, as the rest of it will not arrive."""
        self._give_up(BodyFailure.INCOMPLETE)

    def _reserve(self, size: int) -> bool:
        if not self._memory.reserve(size):
            self.failure = BodyFailure.NO_MEMORY
            return False
        self._reserved += size
        return True

    def _give_up(self, failure: BodyFailure) -> None:
        if not self._done.called:
            self.failure = failure
            self._chunks.clear()
            self._done.callback(None)
