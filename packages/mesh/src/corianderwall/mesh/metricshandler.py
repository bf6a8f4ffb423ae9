"""Serves the metrics of a node over HTTP."""

import asyncio
from collections.abc import Mapping

from corianderwall.httpflow.call import IncomingCall
from corianderwall.mesh.node import HostNode
from corianderwall.mesh.output import LineOutput
from corianderwall.node.metrics import Metrics, render_metrics

METRICS_PATH = b"/metrics"


class MetricsHandler:
    """Responds to each scrape with the current values."""

    def __init__(
        self, node: HostNode, platform_calls: Mapping[str, int], output: LineOutput
    ) -> None:
        self._node = node
        self._platform_calls = platform_calls
        self._output = output
        self._metrics = Metrics()

    def handle(self, call: IncomingCall) -> None:
        """Respond to one scrape."""
        if call.target != METRICS_PATH:
            call.respond(404, [])
            return
        self._export()
        body, headers = render_metrics(self._metrics.registry, ["text/plain"])
        encoded = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
        call.respond(200, encoded, body)

    def _export(self) -> None:
        node, metrics = self._node, self._metrics
        node.metrics.export(metrics)
        load = node.gate.read_load()
        metrics.version.set({}, node.holder.snapshot.version)
        metrics.endpoint_limit.set({}, load.slots)
        metrics.endpoint_calls.set({"state": "running"}, load.running)
        metrics.endpoint_calls.set({"state": "waiting"}, load.waiting)
        metrics.running_calls.set({}, node.metrics.running)
        metrics.pipelined_calls.set({}, node.pipelining.concurrent_calls)
        metrics.pipelined_bytes.set({}, node.pipelining.buffered_bytes)
        live = sum(1 for _ in node.directory.list_live())
        metrics.hosts.set({"state": "live"}, live + 1)
        metrics.hosts.set({"state": "doubted"}, len(node.directory.peers) - live)
        for (purpose, other_zone), size in node.link.bytes.totals.items():
            labels = {"purpose": purpose, "zone": "other" if other_zone else "own"}
            metrics.link_bytes.set(labels, size)
        for kind, count in self._platform_calls.items():
            metrics.platform_calls.set({"kind": kind}, count)
        warmup = node.gate.warmup
        metrics.endpoint_pace.set({}, load.cold_per_s or 0.0)
        metrics.cold_periods.set({}, warmup.cold_periods)
        metrics.paced_refusals.set({}, warmup.refusals)
        metrics.warmup_checks.set({}, warmup.checks)
        metrics.slowdown.set({}, load.slowdown)
        metrics.connections.set({}, node.gate.connections.opened)
        metrics.drops.set({"resent": "yes"}, node.gate.resent_count)
        metrics.drops.set({"resent": "no"}, node.gate.connections.drops - node.gate.resent_count)
        metrics.response_bytes.set({}, node.response_memory.held)
        metrics.oversized.set({}, node.response_memory.given_up)
        for status, count in node.entry.withheld.items():
            metrics.withheld.set({"status": str(status)}, count)
        metrics.crashes.set({}, node.gate.crash_count)
        metrics.quarantined_requests.set({}, node.suspects.count_quarantined())
        for name, count in node.supervisor.failures.items():
            metrics.task_failures.set({"task": name}, count)
        metrics.config_takeovers.set({}, node.sync.takeover_count)
        metrics.unplaced_reports.set({}, node.gate.endpoint.unplaced_count)
        metrics.leaves.set({"state": "saved"}, node.leaves.saved_count)
        metrics.leaves.set({"state": "unsaved"}, node.leaves.unsaved_count)
        metrics.evacuated_zones.set({}, len(node.evacuations.list_closed()))
        metrics.evacuation_refusals.set({}, node.evacuations.refused_calls)
        self._export_teams()
        suppressed = node.entry.log_budget.suppressed + node.gate.log_budget.suppressed
        metrics.log_lines_dropped.set({"cause": "reader"}, self._output.dropped)
        metrics.log_lines_dropped.set({"cause": "volume"}, suppressed)

    def _export_teams(self) -> None:
        """Export what concerns teams, nothing in a deployment without them."""
        node, metrics = self._node, self._metrics
        if not node.holder.teams.is_active:
            return
        for result, count in node.entry.authenticator.counts.items():
            metrics.authentications.set({"result": result}, count)
        age_ms = node.holder.freshness.compute_age_ms(asyncio.get_running_loop().time())
        if age_ms is not None:
            metrics.config_age.set({}, age_ms / 1000)
        for team, seconds in node.gate.shares.totals_s.items():
            metrics.team_slot_seconds.set({"team": team}, seconds)
        metrics.displaced_calls.set({}, node.gate.shares.displaced_count)
        for (team, outcome), count in node.quotas.outcomes.items():
            metrics.quota_calls.set({"team": team, "outcome": outcome}, count)
        for kind, count in node.quotas.messages.items():
            metrics.quota_messages.set({"kind": kind}, count)
        metrics.quota_parts.set({}, node.quotas.pool.parts)
