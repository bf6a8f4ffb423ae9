"""Reports the state of a node: metrics, and a log line when a move ends."""

from typing import TYPE_CHECKING

from corianderwall.model.resource import Move, MoveState
from corianderwall.node.logs import log_info

if TYPE_CHECKING:
    from corianderwall.httpflow.server import CallServer
    from corianderwall.links.peers import PeerLinks
    from corianderwall.membership.membership import Membership
    from corianderwall.model.resource import Snapshot
    from corianderwall.node.admission import AdmissionController
    from corianderwall.node.metrics import CallMetrics, Metrics
    from corianderwall.store.guard import GuardedObjectApi

PLATFORM_CALL_KINDS = ("reads", "watches", "lists", "writes", "deletes", "failures", "throttled")


class NodeReport:
    """Updates the metrics from the components' counters when they are scraped."""

    def __init__(
        self,
        *,
        metrics: "Metrics",
        calls: "CallMetrics",
        links: "PeerLinks",
        membership: "Membership",
        api: "GuardedObjectApi",
        server: "CallServer",
        controller: "AdmissionController",
    ) -> None:
        self.metrics = metrics
        self._calls = calls
        self._links = links
        self._membership = membership
        self._api = api
        self._server = server
        self._controller = controller
        self._move_states: dict[str, MoveState] = {}

    def record_version(self, snapshot: "Snapshot") -> None:
        """Record the active version and the moves that have ended in it."""
        self.metrics.version.set({}, snapshot.version)
        for move in snapshot.moves:
            self._record_move(move)

    def refresh(self) -> None:
        """Update the metrics before they are scraped."""
        metrics = self.metrics
        self._calls.export(metrics)
        counters = self._links.counters
        metrics.link_bytes.set({"direction": "sent"}, counters.sent_bytes)
        metrics.link_bytes.set({"direction": "received"}, counters.received_bytes)
        metrics.link_messages.set({"fate": "sent"}, counters.sent_messages)
        metrics.link_messages.set({"fate": "received"}, counters.received_messages)
        metrics.link_messages.set({"fate": "dropped"}, counters.dropped_messages)
        metrics.link_messages.set({"fate": "malformed"}, counters.malformed_messages)
        metrics.hosts.set({"state": "in_view"}, len(self._membership.list_hosts()))
        metrics.hosts.set({"state": "live"}, len(self._membership.list_live_hosts()))
        metrics.running_calls.set({}, self._server.running_calls)
        for kind in PLATFORM_CALL_KINDS:
            metrics.platform_calls.set({"kind": kind}, getattr(self._api.counts, kind))
        self._refresh_endpoint_metrics()

    def _refresh_endpoint_metrics(self) -> None:
        metrics, admission = self.metrics, self._controller.admission
        metrics.leases_charged.set({}, self._controller.count_charge())
        metrics.endpoint_saturated.set({}, int(self._controller.is_saturated))
        metrics.endpoint_limit.set({}, admission.limit if admission else 0)
        metrics.endpoint_calls.set({"state": "running"}, admission.running if admission else 0)
        metrics.endpoint_calls.set({"state": "waiting"}, admission.waiting if admission else 0)

    def _record_move(self, move: Move) -> None:
        labels = {"service": move.service, "move": move.id}
        self.metrics.move_share.set(labels, move.share_permille)
        known = self._move_states.get(move.id, move.state)
        self._move_states[move.id] = move.state
        if known is MoveState.RUNNING and move.state is not MoveState.RUNNING:
            outcome = {"service": move.service, "outcome": move.state.value}
            self.metrics.moves_ended.inc(outcome)
            log_info("a move has ended", move=move.id, outcome=move.state.value, cause=move.cause)
