"""Reads messages from a ZeroMQ socket in the Twisted reactor."""

from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import zmq
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.internet.posixbase import PosixReactorBase

MESSAGES_PER_ITERATION = 64


@implementer(IReadDescriptor)
class SocketReader:
    """Reads a bounded number of messages per reactor iteration from a ZeroMQ socket.

    The socket's descriptor is edge-triggered, so `doRead` schedules itself until nothing is left.
    """

    def __init__(
        self,
        reactor: "PosixReactorBase",
        socket: "zmq.Socket[bytes]",
        deliver: Callable[[list[bytes]], None],
    ) -> None:
        self._reactor = reactor
        self._socket = socket
        self._deliver = deliver
        self._closed = False
        reactor.addReader(cast("IReadDescriptor", self))
        reactor.callLater(0, self.doRead)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when the socket's state may have changed."""
        return -1 if self._closed else int(self._socket.getsockopt(zmq.FD))

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name that the reactor uses in its log."""
        return "links"

    def doRead(self) -> None:  # noqa: N802
        """Deliver the received messages; those beyond the limit wait for the next iteration."""
        for _ in range(MESSAGES_PER_ITERATION):
            if self._closed or not int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                return
            self._deliver(self._socket.recv_multipart(zmq.NOBLOCK))
        self._reactor.callLater(0, self.doRead)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Stop reading (called by the reactor)."""
        self.close()

    def close(self) -> None:
        """Stop reading; the caller closes the socket afterwards."""
        if self._closed:
            return
        self._reactor.removeReader(cast("IReadDescriptor", self))
        self._closed = True
