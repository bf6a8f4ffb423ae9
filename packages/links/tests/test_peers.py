from collections.abc import Iterator

import pytest
import pytest_twisted
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from corianderwall.links.codec import MAX_FRAME_BYTES, PeerCodec
from corianderwall.links.keys import KeyRing, generate_key_ring, require_key
from corianderwall.links.peers import PeerLinks
from corianderwall.model.clock import SystemClock
from corianderwall.model.endpoint import Address
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.message import OutgoingMessage, PeerMessage


class Ping(PeerMessage, frozen=True):
    number: int


CODEC = PeerCodec([Ping])
KEYS = generate_key_ring()
WAIT_S = 5.0


class Listener:
    """A node's links together with the messages that they delivered."""

    def __init__(self, name: str, keys: KeyRing) -> None:
        self.received: list[tuple[str, PeerMessage]] = []
        self.first: Deferred[None] = Deferred()
        self.address = Address(host="127.0.0.1", port=find_free_port())
        self.links = PeerLinks(
            reactor=reactor,
            clock=SystemClock(),
            codec=CODEC,
            keys=keys,
            name=name,
            deliver=self.deliver,
        )
        self.links.start(self.address)

    def deliver(self, peer: str, message: PeerMessage) -> None:
        self.received.append((peer, message))
        if not self.first.called:
            self.first.callback(None)


def wait_for(listener: Listener) -> Deferred[None]:
    """Return a deferred that fires at the next message and fails after `WAIT_S`."""
    return listener.first.addTimeout(WAIT_S, reactor)


def find_free_port() -> int:
    with zmq.Context() as context, context.socket(zmq.PULL) as socket:
        return int(socket.bind_to_random_port("tcp://127.0.0.1"))


@pytest.fixture
def receiver() -> Iterator[Listener]:
    listener = Listener("receiver", KEYS)
    yield listener
    listener.links.stop()


@pytest.fixture
def sender(receiver: Listener) -> Iterator[Listener]:
    listener = Listener("sender", KEYS)
    listener.links.set_address("receiver", receiver.address)
    yield listener
    listener.links.stop()


@pytest_twisted.inlineCallbacks
def test_a_message_arrives_with_the_name_of_its_sender(sender, receiver):
    sender.links.send(OutgoingMessage("receiver", Ping(7)))
    yield wait_for(receiver)
    assert receiver.received == [("sender", Ping(7))]


@pytest_twisted.inlineCallbacks
def test_a_reset_connection_is_replaced_and_what_it_held_is_dropped(sender, receiver):
    silent = Address(host="127.0.0.1", port=find_free_port())
    sender.links.set_address("receiver", silent)
    sender.links.send(OutgoingMessage("receiver", Ping(1)))
    sender.links.set_address("receiver", receiver.address)
    sender.links.send(OutgoingMessage("receiver", Ping(2)))
    yield wait_for(receiver)
    assert receiver.received == [("sender", Ping(2))]


@pytest_twisted.inlineCallbacks
def test_a_peer_with_an_unknown_key_delivers_nothing(sender, receiver):
    stranger = Listener("sender", KEYS)
    foreign = generate_key_ring()
    stranger.links._keys = KeyRing(
        public=foreign.public,
        secret=foreign.secret,
        server=KEYS.public,
        accepted=foreign.accepted,
    )
    stranger.links.set_address("receiver", receiver.address)
    for number in range(20):
        stranger.links.send(OutgoingMessage("receiver", Ping(-number)))
    yield deferLater(reactor, 0.3, lambda: None)
    sender.links.send(OutgoingMessage("receiver", Ping(1)))
    yield wait_for(receiver)
    stranger.links.stop()
    assert receiver.received == [("sender", Ping(1))]


@pytest_twisted.inlineCallbacks
def test_malformed_frames_are_counted_and_the_next_message_arrives(sender, receiver):
    sender.links.send(OutgoingMessage("receiver", Ping(0)))
    yield wait_for(receiver)
    receiver.first = Deferred()
    socket = sender.links._links["receiver"].socket
    for frames in ([b""], [b"sender", b"\xff\x00"], [b"\xff", b"x"], [b"a", b"b", b"c"]):
        socket.send_multipart(frames)
    sender.links.send(OutgoingMessage("receiver", Ping(3)))
    yield wait_for(receiver)
    assert receiver.links.counters.malformed_messages == 4
    assert receiver.received[-1] == ("sender", Ping(3))


def test_a_message_to_an_unknown_peer_is_dropped(sender):
    sender.links.send(OutgoingMessage("nobody", Ping(1)))
    assert sender.links.counters.dropped_messages == 1


@settings(derandomize=True)
@given(st.binary(max_size=200))
def test_random_bytes_are_no_message(frame):
    with pytest.raises(CorianderwallError) as caught:
        CODEC.decode(frame)
    assert caught.value.code is ErrorCode.MALFORMED_MESSAGE


def test_an_oversized_frame_is_refused():
    with pytest.raises(CorianderwallError):
        CODEC.decode(bytes(MAX_FRAME_BYTES + 1))


def test_the_secret_key_is_not_in_the_representation():
    assert KEYS.secret not in repr(KEYS)


@pytest.mark.parametrize("text", ["", "short", "é" * 40, "x" * 39, '"' * 40])
def test_a_text_that_is_no_key_is_refused(text):
    with pytest.raises(CorianderwallError):
        require_key(text)
