"""The connections between this node and its peers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import zmq
from zmq.auth.thread import ThreadAuthenticator

from corianderwall.links.reader import SocketReader
from corianderwall.model.errors import CorianderwallError

if TYPE_CHECKING:
    from twisted.internet.posixbase import PosixReactorBase

    from corianderwall.links.codec import PeerCodec
    from corianderwall.links.keys import KeyRing
    from corianderwall.model.clock import Clock
    from corianderwall.model.endpoint import Address
    from corianderwall.model.message import OutgoingMessage, PeerMessage

MAX_QUEUED_MESSAGES = 500
IDLE_TIMEOUT_S = 60.0
HANDSHAKE_TIMEOUT_MS = 2_000
STOP_LINGER_MS = 500
DOMAIN = "mesh"


@dataclass(slots=True)
class LinkCounters:
    """Counts messages and bytes; bytes are those of the frames, without transport overhead."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    malformed_messages: int = 0


@dataclass(slots=True)
class _Link:
    socket: "zmq.Socket[bytes]"
    address: "Address"
    idle_deadline: float


class _CredentialsProvider:
    """Authenticates peers by the accepted public keys of the key ring."""

    def __init__(self, keys: "KeyRing") -> None:
        self._accepted = frozenset(key.encode("ascii") for key in keys.accepted)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer with this public key may connect."""
        return key in self._accepted


class PeerLinks:
    """Sends messages to peers over one connection each, and receives from all peers on one socket.

    Connections are encrypted and authenticated with CURVE: a peer whose key is not accepted can
    send nothing. A message is dropped when the queue is full; the protocols tolerate loss.
    """

    def __init__(
        self,
        *,
        reactor: "PosixReactorBase",
        clock: "Clock",
        codec: "PeerCodec",
        keys: "KeyRing",
        name: str,
        deliver: Callable[[str, "PeerMessage"], None],
    ) -> None:
        self.counters = LinkCounters()
        self._reactor = reactor
        self._clock = clock
        self._codec = codec
        self._keys = keys
        self._name = name.encode("utf-8")
        self._deliver = deliver
        self._addresses: dict[str, Address] = {}
        self._links: dict[str, _Link] = {}
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._authenticator: ThreadAuthenticator | None = None
        self._inbox: zmq.Socket[bytes] | None = None
        self._reader: SocketReader | None = None

    def start(self, address: "Address") -> None:
        """Listen on `address` for peers with an accepted key."""
        authenticator = ThreadAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            domain=DOMAIN, credentials_provider=_CredentialsProvider(self._keys)
        )
        self._authenticator = authenticator
        inbox = self._context.socket(zmq.PULL)
        inbox.setsockopt(zmq.LINGER, 0)
        inbox.setsockopt(zmq.ZAP_DOMAIN, DOMAIN.encode("ascii"))
        inbox.setsockopt(zmq.CURVE_SERVER, 1)
        inbox.setsockopt_string(zmq.CURVE_PUBLICKEY, self._keys.public)
        inbox.setsockopt_string(zmq.CURVE_SECRETKEY, self._keys.secret)
        inbox.bind(f"tcp://{address}")
        self._inbox = inbox
        self._reader = SocketReader(self._reactor, inbox, self._receive)

    def set_address(self, peer: str, address: "Address") -> None:
        """Set the address of `peer`; the connection is replaced if the address has changed."""
        self._addresses[peer] = address
        link = self._links.get(peer)
        if link is not None and link.address != address:
            self.reset(peer)

    def forget(self, peer: str) -> None:
        """Close the connection to a peer that has left and delete its address."""
        self._addresses.pop(peer, None)
        self.reset(peer)

    def reset(self, peer: str) -> None:
        """Close the connection to `peer` and drop its queue; the next message opens a new one.

        A connection whose state was lost by a firewall or NAT between the hosts does not recover.
        """
        link = self._links.pop(peer, None)
        if link is not None:
            link.socket.close(linger=0)

    def send(self, outgoing: "OutgoingMessage") -> None:
        """Queue one message; it is dropped if the peer is unknown or its queue is full."""
        link = self._get_link(outgoing.peer)
        if link is None:
            self.counters.dropped_messages += 1
            return
        link.idle_deadline = self._clock.read_monotonic() + IDLE_TIMEOUT_S
        frame = self._codec.encode(outgoing.message)
        try:
            link.socket.send_multipart((self._name, frame), zmq.NOBLOCK)
        except zmq.Again:
            self.counters.dropped_messages += 1
            return
        self.counters.sent_messages += 1
        self.counters.sent_bytes += len(frame) + len(self._name)

    def close_idle(self) -> None:
        """Close the connections on which nothing was sent for `IDLE_TIMEOUT_S`."""
        now = self._clock.read_monotonic()
        idle = [peer for peer, link in self._links.items() if link.idle_deadline <= now]
        for peer in idle:
            self.reset(peer)

    def stop(self) -> None:
        """Send the queued messages, for at most `STOP_LINGER_MS`, and close all sockets."""
        for link in self._links.values():
            link.socket.close(linger=STOP_LINGER_MS)
        self._links.clear()
        if self._reader is not None:
            self._reader.close()
        if self._inbox is not None:
            self._inbox.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def _get_link(self, peer: str) -> _Link | None:
        link = self._links.get(peer)
        if link is not None:
            return link
        address = self._addresses.get(peer)
        if address is None:
            return None
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt_string(zmq.CURVE_PUBLICKEY, self._keys.public)
        socket.setsockopt_string(zmq.CURVE_SECRETKEY, self._keys.secret)
        socket.setsockopt_string(zmq.CURVE_SERVERKEY, self._keys.server)
        socket.connect(f"tcp://{address}")
        link = _Link(socket, address, self._clock.read_monotonic() + IDLE_TIMEOUT_S)
        self._links[peer] = link
        return link

    def _receive(self, frames: list[bytes]) -> None:
        self.counters.received_messages += 1
        self.counters.received_bytes += sum(len(frame) for frame in frames)
        try:
            name, frame = frames
            peer = name.decode("utf-8")
            message = self._codec.decode(frame)
        except (ValueError, CorianderwallError):
            self.counters.malformed_messages += 1
            return
        self._deliver(peer, message)
