"""The metrics that a node shows to Prometheus."""

from dataclasses import dataclass, field

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)


def _counter(name: str, text: str) -> Counter:
    return Counter(f"corianderwall_{name}_total", text)


def _gauge(name: str, text: str) -> Gauge:
    return Gauge(f"corianderwall_{name}", text)


@dataclass(slots=True)
class Metrics:
    """All metrics of one node; the names carry their units."""

    calls: Counter = field(
        default_factory=lambda: _counter("calls", "Calls answered, by service, version and status.")
    )
    attempts: Counter = field(
        default_factory=lambda: _counter(
            "attempts", "Attempts at endpoints, by service and verdict."
        )
    )
    refusals: Counter = field(
        default_factory=lambda: _counter("refusals", "Calls refused by this node, by error code.")
    )
    latency: Histogram = field(
        default_factory=lambda: Histogram(
            "corianderwall_call_seconds",
            "Seconds from the head of a call to the end of its answer, by service.",
            buckets=list(LATENCY_BUCKETS_S),
        )
    )
    version: Gauge = field(
        default_factory=lambda: _gauge("config_version", "Configuration version in force.")
    )
    hosts: Gauge = field(default_factory=lambda: _gauge("hosts", "Hosts known, by state."))
    endpoints: Gauge = field(
        default_factory=lambda: _gauge("endpoints", "Endpoints known, by service and version.")
    )
    running_calls: Gauge = field(
        default_factory=lambda: _gauge("running_calls", "Calls that this node is serving.")
    )
    link_bytes: Counter = field(
        default_factory=lambda: _counter("link_bytes", "Bytes of messages between nodes.")
    )
    link_messages: Counter = field(
        default_factory=lambda: _counter("link_messages", "Messages between nodes, by fate.")
    )
    platform_calls: Counter = field(
        default_factory=lambda: _counter("platform_calls", "Calls to the platform, by kind.")
    )
    move_share: Gauge = field(
        default_factory=lambda: _gauge("move_share_permille", "Share of a move's new version.")
    )
    moves_ended: Counter = field(
        default_factory=lambda: _counter(
            "moves_ended", "Moves seen to end, by service and outcome."
        )
    )

    def build_registry(self) -> Registry:
        """Return a registry of all metrics."""
        registry = Registry()
        for name in self.__slots__:
            registry.register(getattr(self, name))
        return registry


def render_metrics(registry: Registry, accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of an answer to a scrape."""
    body, headers = render(registry, accept)
    return body, headers
