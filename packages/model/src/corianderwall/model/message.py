"""Messages between nodes, independent of the transport."""

from dataclasses import dataclass
from typing import Protocol

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages between nodes; the tag of each is its class name."""


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send to the node named `peer`."""

    peer: str
    message: PeerMessage


class PeerSender(Protocol):
    """Sends messages without waiting; they may be lost, delayed, duplicated or reordered."""

    def send(self, outgoing: OutgoingMessage) -> None:
        """Queue the message, or drop it if the peer's queue is full."""
