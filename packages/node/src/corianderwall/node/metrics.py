"""The metrics that a node exports to Prometheus."""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry, render

if TYPE_CHECKING:
    from corianderwall.model.errors import ErrorCode
    from corianderwall.model.outcome import AttemptOutcome

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)


class Metrics:
    """All metrics of a node, in a registry of their own; their names include the units."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.calls = self._add_counter("calls", "Calls answered, by service, version and status.")
        self.attempts = self._add_counter(
            "attempts", "Attempts at endpoints, by service, verdict and way."
        )
        self.retries = self._add_counter(
            "retries", "Failed attempts, by service and what was decided about a retry."
        )
        self.endpoint_limit = self._add_gauge(
            "endpoint_limit", "Calls that may run at the endpoint beside this node."
        )
        self.endpoint_calls = self._add_gauge(
            "endpoint_calls", "Calls at that endpoint through this node, by state."
        )
        self.endpoint_saturated = self._add_gauge(
            "endpoint_saturated", "1 while all calls to that endpoint come through this node."
        )
        self.leases_charged = self._add_gauge(
            "leases_charged", "Calls that other nodes may run at that endpoint directly."
        )
        self.refusals = self._add_counter("refusals", "Calls refused by this node, by error code.")
        self.calls_within = self._add_counter(
            "calls_within", "Calls answered within `seconds`, cumulative, by service."
        )
        self.call_seconds = self._add_counter("call_seconds", "Seconds of all calls, by service.")
        self.version = self._add_gauge("config_version", "Configuration version in force.")
        self.hosts = self._add_gauge("hosts", "Hosts known, by state.")
        self.running_calls = self._add_gauge("running_calls", "Calls that this node is serving.")
        self.link_bytes = self._add_counter("link_bytes", "Bytes of messages between nodes.")
        self.link_messages = self._add_counter("link_messages", "Messages between nodes, by fate.")
        self.platform_calls = self._add_counter("platform_calls", "Calls to the platform, by kind.")
        self.log_lines_dropped = self._add_gauge(
            "log_lines_dropped", "Log lines not written, by cause."
        )
        self.move_share = self._add_gauge("move_share_permille", "Share of a move's new version.")
        self.moves_ended = self._add_counter(
            "moves_ended", "Moves seen to end, by service and outcome."
        )

        self.pipelined_calls = self._add_counter(
            "pipelined_calls", "Calls run beside an unanswered one of the same connection."
        )
        self.pipelined_bytes = self._add_gauge(
            "pipelined_response_bytes", "Responses that wait for those before them."
        )
        self.slowdown = self._add_gauge(
            "endpoint_slowdown", "How many times longer than usual work takes at that endpoint."
        )
        self.connections = self._add_counter(
            "endpoint_connections", "Connections opened to the endpoint beside this node."
        )
        self.drops = self._add_counter(
            "endpoint_connection_drops", "Rested connections that the endpoint had forgotten."
        )
        self.crashes = self._add_counter(
            "endpoint_crashes", "Crashes of the endpoint beside this node while it ran calls."
        )
        self.task_failures = self._add_counter(
            "task_failures", "Tasks of this node that have ended by an exception."
        )
        self.config_takeovers = self._add_counter(
            "config_takeovers", "Times that this node read the platform in place of its leader."
        )
        self.unplaced_reports = self._add_counter(
            "endpoint_reports_unplaced", "Announcements that no known start may have sent."
        )
        self.leaves = self._add_gauge(
            "endpoint_leaves", "Leaves of endpoints by whether they are at the platform."
        )
        self.endpoint_pace = self._add_gauge(
            "endpoint_pace_per_s", "Calls that may start a second at the cold endpoint, 0 if warm."
        )
        self.cold_periods = self._add_counter(
            "endpoint_cold_periods", "Times that the endpoint beside this node became cold."
        )
        self.paced_refusals = self._add_counter(
            "paced_refusals", "Calls refused by this owner while its endpoint was paced."
        )
        self.warmup_checks = self._add_counter(
            "endpoint_warmup_checks", "Health checks that ask the endpoint whether it is warm."
        )
        self.quarantined_requests = self._add_gauge(
            "quarantined_requests", "Requests known to crash endpoints, which get to none."
        )
        self.evacuated_zones = self._add_gauge(
            "evacuated_zones", "Zones whose endpoints get no calls, as this node knows."
        )
        self.response_bytes = self._add_gauge(
            "response_body_bytes", "Bytes of response bodies that the node holds"
        )
        self.oversized = self._add_counter(
            "responses_given_up", "Responses given up as all bodies together were too large"
        )
        self.withheld = self._add_counter(
            "withheld_responses",
            "Responses of the endpoint replaced by 502, as they promised that a call had not run",
        )
        self.evacuation_refusals = self._add_counter(
            "evacuation_refusals", "Calls for the endpoint beside this node in an evacuated zone."
        )
        self.authentications = self._add_counter(
            "authentications", "Calls whose key was checked by this node, by result."
        )
        self.config_age = self._add_gauge(
            "config_confirmed_age_seconds",
            "Time since the active configuration was certainly the newest.",
        )
        self.team_slot_seconds = self._add_counter(
            "team_slot_seconds", "Time for which calls held slots of the endpoint, by team."
        )
        self.displaced_calls = self._add_counter(
            "displaced_calls", "Waiting calls refused since teams that had used less came first."
        )

        self.quota_calls = self._add_counter(
            "quota_calls", "Calls of a team with a quota at this entry, by team and outcome."
        )
        self.quota_messages = self._add_counter(
            "quota_messages", "Messages about quotas that this node has sent, by kind."
        )
        self.quota_parts = self._add_gauge(
            "quota_parts", "Parts of the quotas that this node lends; each node owns one."
        )

    def _add_counter(self, name: str, text: str) -> Counter:
        return Counter(f"corianderwall_{name}_total", text, registry=self.registry)

    def _add_gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"corianderwall_{name}", text, registry=self.registry)


def render_metrics(registry: Registry, accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of the response to a scrape."""
    body, headers = render(registry, accept)
    return body, headers


@dataclass(slots=True)
class _ServiceLatency:
    buckets: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    sum_s: float = 0.0


class CallMetrics:
    """Counts calls in plain integers, as labelled metrics are too slow for the call path."""

    def __init__(self) -> None:
        self.running = 0
        self._calls: dict[tuple[str, str, int], int] = {}
        self._attempts: dict[tuple[str, str, str], int] = {}
        self._retries: dict[tuple[str, str], int] = {}
        self._refusals: dict[str, int] = {}
        self._latency: dict[str, _ServiceLatency] = {}

    def count_call(self, service: str, version: str, status: int, latency_s: float) -> None:
        """Count a call that has got its response."""
        key = (service, version, status)
        self._calls[key] = self._calls.get(key, 0) + 1
        latency = self._latency.get(service)
        if latency is None:
            latency = self._latency[service] = _ServiceLatency()
        latency.buckets[bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        latency.sum_s += latency_s

    def count_attempt(self, outcome: "AttemptOutcome", way: str) -> None:
        """Count one attempt at an endpoint; `way` is local, direct or owner."""
        verdict = "refused" if outcome.refused else outcome.verdict.value
        key = (outcome.service, verdict, way)
        self._attempts[key] = self._attempts.get(key, 0) + 1

    def count_retry(self, service: str, reason: str) -> None:
        """Count a decision on whether to retry a failed attempt."""
        key = (service, reason)
        self._retries[key] = self._retries.get(key, 0) + 1

    def count_refusal(self, code: "ErrorCode") -> None:
        """Count a call for which this node created an error response."""
        self._refusals[code.value] = self._refusals.get(code.value, 0) + 1

    def export(self, metrics: Metrics) -> None:
        """Copy the counts to the labelled metrics."""
        for (service, version, status), count in self._calls.items():
            labels = {"service": service, "version": version, "status": str(status)}
            metrics.calls.set(labels, count)
        for (service, verdict, way), count in self._attempts.items():
            labels = {"service": service, "verdict": verdict, "way": way}
            metrics.attempts.set(labels, count)
        for (service, reason), count in self._retries.items():
            metrics.retries.set({"service": service, "decision": reason}, count)
        for code, count in self._refusals.items():
            metrics.refusals.set({"code": code}, count)
        for service, latency in self._latency.items():
            _export_latency(metrics, service, latency)


def _export_latency(metrics: Metrics, service: str, latency: _ServiceLatency) -> None:
    total = 0
    for bound_s, count in zip((*LATENCY_BUCKETS_S, "+Inf"), latency.buckets, strict=True):
        total += count
        metrics.calls_within.set({"service": service, "seconds": str(bound_s)}, total)
    metrics.call_seconds.set({"service": service}, latency.sum_s)
