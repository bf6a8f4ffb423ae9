"""Collects the calls that an endpoint has lost at its owner, which finds out if it has crashed."""

from typing import TYPE_CHECKING

from corianderwall.model.endpoint import EndpointState
from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.node.crashdetector import CrashDetector, LostCall
from corianderwall.node.logs import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from corianderwall.model.clock import Clock
    from corianderwall.model.endpoint import Endpoint
    from corianderwall.node.admission import AdmissionController
    from corianderwall.node.suspectexchange import SuspectExchange
    from corianderwall.traffic.suspects import Suspects


class LossReport(PeerMessage, frozen=True, tag="loss-report"):
    """Tells the owner of `endpoint` that a call sent to it got no complete response."""

    endpoint: str
    call_id: str
    fingerprint: str


class CrashMonitor:
    """Sends the calls that this node's endpoint or another one has lost to the endpoint's owner.

    Entries call endpoints directly, but only the owner may always connect to its endpoint, and
    only one node may count a crash.
    """

    def __init__(
        self,
        *,
        node: str,
        clock: "Clock",
        suspects: "Suspects",
        exchange: "SuspectExchange",
        admission: "AdmissionController",
        send: "Callable[[Iterable[OutgoingMessage]], None]",
    ) -> None:
        self._node = node
        self._clock = clock
        self._suspects = suspects
        self._exchange = exchange
        self._admission = admission
        self._send = send
        self._detector: CrashDetector | None = None
        self._detected_endpoint = ""
        # When the endpoint crashed, until it has announced itself again; names the crash.
        self._crashed_unix_ms = 0

    def report_loss(self, endpoint: "Endpoint", call_id: str, fingerprint: str) -> None:
        """Report a call that `endpoint` has lost to its owner, which may be this node."""
        report = LossReport(endpoint.name, call_id, fingerprint)
        if endpoint.node == self._node:
            self.receive_report(report)
        else:
            self._send([OutgoingMessage(endpoint.node, report)])

    def receive_report(self, report: LossReport) -> None:
        """Check whether the endpoint beside this node has crashed."""
        endpoint = self._admission.endpoint
        if endpoint is None or endpoint.name != report.endpoint:
            return
        if endpoint.state is not EndpointState.READY:
            # It is stopping, and cuts the calls that run too long.
            return
        if self._detector is None or self._detected_endpoint != endpoint.name:
            self._detected_endpoint = endpoint.name
            self._detector = CrashDetector(
                endpoint.address, self._admission.has_spare_connection, self._record_crash
            )
        self._detector.record_loss(endpoint.name, LostCall(report.call_id, report.fingerprint))

    def confirm_endpoint(self) -> None:
        """Record that the endpoint has announced itself; a later crash is another one."""
        self._crashed_unix_ms = 0

    def start_trial(self, fingerprint: str) -> None:
        """Tell all nodes that a request is tried again after its quarantine."""
        now = self._clock.read_monotonic()
        self._send(self._exchange.share(self._suspects.start_trial(fingerprint, now)))

    def record_response(self, fingerprint: str) -> None:
        """Tell all nodes that an endpoint has answered a request, if it is a suspect."""
        now = self._clock.read_monotonic()
        self._send(self._exchange.share(self._suspects.record_response(fingerprint, now)))

    def _record_crash(self, endpoint: str, calls: tuple[LostCall, ...]) -> None:
        self._crashed_unix_ms = self._crashed_unix_ms or int(self._clock.read_unix() * 1000)
        start = f"{endpoint}@{self._crashed_unix_ms}"
        fingerprints = [call.fingerprint for call in calls]
        changed = self._suspects.record_crash(start, fingerprints, self._clock.read_monotonic())
        self._send(self._exchange.share(changed))
        log_warning(
            "the endpoint ended while it ran calls",
            start=start,
            calls=[f"{call.request} {call.fingerprint}" for call in calls],
            suspects=[f"{each.fingerprint} {len(each.crashes)}" for each in changed],
        )


MESSAGES: tuple[type[PeerMessage], ...] = (LossReport,)
"""All messages of this module, for the node's decoder."""
