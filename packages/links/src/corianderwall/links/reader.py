"""Delivers the frames of a ZeroMQ socket through the reactor."""

from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import zmq
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.internet.posixbase import PosixReactorBase

FRAMES_PER_TURN = 64


@implementer(IReadDescriptor)
class SocketReader:
    """Reads a socket whose descriptor signals edges only, a bounded number of frames a turn."""

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
        """Return the name under which the reactor logs."""
        return "links"

    def doRead(self) -> None:  # noqa: N802
        """Deliver what has arrived; more than a turn's frames wait for the next turn."""
        for _ in range(FRAMES_PER_TURN):
            if self._closed or not int(self._socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                return
            self._deliver(self._socket.recv_multipart(zmq.NOBLOCK))
        self._reactor.callLater(0, self.doRead)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Stop reading; called by the reactor."""
        self.close()

    def close(self) -> None:
        """Stop reading; the owner closes the socket afterwards."""
        if self._closed:
            return
        self._reactor.removeReader(cast("IReadDescriptor", self))
        self._closed = True
