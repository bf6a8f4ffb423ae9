"""The ways on which a node sends one attempt of a call."""

from typing import Protocol

from corianderwall.httpflow.attempt import OutgoingCall, ResponseReceiver
from corianderwall.httpflow.flow import BodySink, BodySource


class RunningAttempt(BodySink, BodySource, Protocol):
    """An attempt under way: sink of the request's body, source of the answer's body."""

    def cancel(self) -> None:
        """Give the attempt up; its receiver is told at once."""


class Carrier(Protocol):
    """Sends attempts: a pool of connections, or the desk of the local endpoint."""

    def send(self, call: OutgoingCall, receiver: ResponseReceiver) -> RunningAttempt:
        """Send one attempt; the receiver's `finish` is called exactly once, not in here."""
