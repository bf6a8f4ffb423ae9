"""Messages between nodes, as the decisions see them."""

from dataclasses import dataclass
from typing import Protocol

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages between nodes; each subclass carries its own tag."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message that a decision wants sent to the node named `peer`."""

    peer: str
    message: PeerMessage


class PeerSender(Protocol):
    """Sends without waiting; a message may be lost, late, doubled or crossed."""

    def send(self, outgoing: Outgoing) -> None:
        """Queue one message; when the peer's queue is full the message is dropped."""
