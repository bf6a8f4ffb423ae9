"""Interfaces for sending an attempt and for controlling it while it runs."""

from typing import Protocol

from corianderwall.httpflow.attempt import OutgoingCall, ResponseReceiver
from corianderwall.httpflow.flow import BodySink, BodySource


class RunningAttempt(BodySink, BodySource, Protocol):
    """A running attempt: sink of the request body and source of the response body."""

    def cancel(self) -> None:
        """Cancel the attempt and finish its receiver immediately."""


class AttemptSender(Protocol):
    """Sends attempts, through a connection pool or the admission queue of the local endpoint."""

    def send(self, call: OutgoingCall, receiver: ResponseReceiver) -> RunningAttempt:
        """Send one attempt; `receiver.finish` is called once, after this method has returned."""
