"""The arithmetic of the capacity page: what each role costs at the stated size."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from corianderwall.bench.configuration import make_snapshot
from corianderwall.bench.virtual_fleet import OVERHEAD_BYTES
from corianderwall.distribution.messages import ActiveVersion
from corianderwall.distribution.parts import split_snapshot
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.model.codec import compute_digest, encode_snapshot
from corianderwall.moves.evaluation import WINDOW_S
from corianderwall.moves.reporting import AGGREGATORS_PER_MOVE, REPORT_PERIOD_S
from corianderwall.store.watcher import MAX_POLL_WAIT_S

NODES = 590
SERVICES = 43
REGIONS = 2
ZONES = 5
CALLS_PER_S = 150_000
CHANGES_PER_DAY = 710
RESTARTS_PER_DAY = 33
ENDPOINT_EVENTS_PER_DAY = 2 * NODES
"""Each endpoint is replaced once a day: one announcement and one drain."""

WATCHERS = 2 * REGIONS
COLLECTORS = 2 * ZONES
REPORT_INTERVAL_S = DistributionSettings().report_interval_s
SESSION = 1_800_000_000_000
"""A session as it is now: a unix time in milliseconds."""

DAY_S = 86_400
PLATFORM_VALUE_BYTES = 1 << 20
MAX_CPU_PERCENT = 1.1
MAX_RSS_MB = 256.0
MAX_BYTES_PER_S = 9000.0


class Measured(msgspec.Struct, frozen=True):
    """A figure that a run gave, at `nodes` nodes, with its slope by the number of nodes."""

    name: str
    value: float
    unit: str
    nodes: int
    slope_per_node: float
    command: str
    seed: int

    def at(self, nodes: int) -> float:
        """Return the figure at another number of nodes."""
        return self.value + self.slope_per_node * (nodes - self.nodes)


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the page."""

    role: str
    quantity: str
    arithmetic: str
    value: float
    unit: str
    bound: str = ""


def load_measured(path: Path) -> dict[str, Measured]:
    """Return the figures by name."""
    figures = msgspec.json.decode(path.read_bytes(), type=tuple[Measured, ...])
    return {figure.name: figure for figure in figures}


def compute_rows(measured: dict[str, Measured]) -> list[Row]:
    """Return all lines of the page."""
    return [
        *_compute_node_bytes(measured),
        *_compute_bursts(measured),
        *_compute_node_load(measured),
        *_compute_collector(),
        *_compute_platform(measured),
        *_compute_moves(measured),
        *_compute_configuration(),
    ]


def find_first_break(measured: dict[str, Measured]) -> tuple[str, int]:
    """Return which bound of a node is reached first, and at how many nodes."""
    limits = {
        "bytes_per_s": MAX_BYTES_PER_S - _sum_daily_bytes(measured),
        "cpu_percent": MAX_CPU_PERCENT,
        "rss_mb": MAX_RSS_MB,
    }
    sizes = {}
    for name, limit in limits.items():
        figure = measured[name]
        if figure.slope_per_node > 0:
            sizes[name] = round(figure.nodes + (limit - figure.value) / figure.slope_per_node)
    first = min(sizes, key=lambda name: sizes[name])
    return first, sizes[first]


def _compute_daily(measured: dict[str, Measured]) -> list[Row]:
    counts = {
        "bytes_per_change": CHANGES_PER_DAY,
        "bytes_per_endpoint_event": ENDPOINT_EVENTS_PER_DAY,
        "bytes_per_restart": RESTARTS_PER_DAY,
    }
    rows = []
    for name, count in counts.items():
        each = measured[name].at(NODES)
        rows.append(
            Row(
                "every node",
                name.replace("bytes_per_", "").replace("_", " ") + "s of a day",
                f"{count} x {each:.0f} B / {DAY_S} s",
                count * each / DAY_S,
                "B/s",
            )
        )
    return rows


def _sum_daily_bytes(measured: dict[str, Measured]) -> float:
    return sum(row.value for row in _compute_daily(measured))


def _compute_node_bytes(measured: dict[str, Measured]) -> list[Row]:
    rest = measured["bytes_per_s"]
    daily = _compute_daily(measured)
    total = rest.at(NODES) + sum(row.value for row in daily)
    arithmetic = f"{rest.value:.0f} + {rest.slope_per_node} x ({NODES} - {rest.nodes})"
    return [
        Row("every node", "heartbeats and repair at rest", arithmetic, rest.at(NODES), "B/s"),
        *daily,
        Row(
            "every node",
            "bytes sent plus received",
            "sum of the lines above",
            total,
            "B/s",
            f"{MAX_BYTES_PER_S:.0f}",
        ),
    ]


def _compute_bursts(measured: dict[str, Measured]) -> list[Row]:
    zone = NODES // ZONES
    event = measured["bytes_per_endpoint_event"].at(NODES)
    restart = measured["bytes_per_restart"].at(NODES)
    return [
        Row(
            "every node",
            "a zone fails, in all",
            f"{zone} x {event:.0f} B / 1000000",
            zone * event / 1e6,
            "MB",
        ),
        Row(
            "every node",
            "the zone returns, in all",
            f"{zone} x {restart:.0f} B / 1000000",
            zone * restart / 1e6,
            "MB",
        ),
    ]


def _compute_node_load(measured: dict[str, Measured]) -> list[Row]:
    cpu, rss = measured["cpu_percent"], measured["rss_mb"]
    calls = CALLS_PER_S / NODES
    return [
        Row(
            "every node",
            "processor time for control, no upstream, no calls",
            f"{cpu.value} + {cpu.slope_per_node} x ({NODES} - {cpu.nodes})",
            cpu.at(NODES),
            "% of a core",
            str(MAX_CPU_PERCENT),
        ),
        Row(
            "every node",
            "resident memory",
            f"{rss.value} + {rss.slope_per_node} x ({NODES} - {rss.nodes})",
            rss.at(NODES),
            "MiB",
            f"{MAX_RSS_MB:.0f}",
        ),
        Row("every node", "calls entering", f"{CALLS_PER_S} / {NODES}", calls, "calls/s"),
    ]


def _compute_collector() -> list[Row]:
    hosts = NODES / ZONES
    reports = hosts / REPORT_INTERVAL_S + hosts * CHANGES_PER_DAY / DAY_S
    size = len(msgspec.msgpack.encode(ActiveVersion(SESSION, CHANGES_PER_DAY))) + OVERHEAD_BYTES
    at_rest = f"{hosts:.0f} / {REPORT_INTERVAL_S:.0f} s"
    return [
        Row(
            f"collector ({COLLECTORS} of them)",
            "reports of what is in force",
            f"{at_rest} + {hosts:.0f} x {CHANGES_PER_DAY} / {DAY_S} s",
            reports,
            "messages/s",
        ),
        Row(
            f"collector ({COLLECTORS} of them)",
            "bytes of reports",
            f"{reports:.2f} x {size:.0f} B",
            reports * size,
            "B/s",
        ),
    ]


def _compute_platform(measured: dict[str, Measured]) -> list[Row]:
    reads, writes = measured["platform_reads_per_change"], measured["platform_writes_per_change"]
    peak = measured["restart_reads_per_s"]
    return [
        Row(
            f"watcher ({WATCHERS} of them)",
            "waiting watches at rest, all watchers",
            f"{WATCHERS} / {MAX_POLL_WAIT_S:.0f} s",
            WATCHERS / MAX_POLL_WAIT_S,
            "reads/s",
            "2000",
        ),
        Row(
            f"watcher ({WATCHERS} of them)",
            "reads of the platform, all watchers and the accepting node",
            f"{CHANGES_PER_DAY} x {reads.value} / {DAY_S} s",
            CHANGES_PER_DAY * reads.value / DAY_S,
            "reads/s",
            "2000",
        ),
        Row(
            "accepting node",
            "writes to the platform",
            f"{CHANGES_PER_DAY} x {writes.value} / {DAY_S} s",
            CHANGES_PER_DAY * writes.value / DAY_S,
            "writes/s",
            "300",
        ),
        Row(
            "all nodes",
            "reads in the worst second when all return at once",
            f"{peak.value:.0f} / {peak.nodes} nodes x {NODES}",
            peak.value / peak.nodes * NODES,
            "reads/s",
            "2000",
        ),
    ]


def _compute_moves(measured: dict[str, Measured]) -> list[Row]:
    role = f"aggregator of a running move ({AGGREGATORS_PER_MOVE} of each)"
    size = measured["move_report_bytes"].value
    report_us = measured["move_report_us"].value
    judgement_ms = measured["move_judgement_ms"].value
    judgements_per_s = 1 / WINDOW_S
    reports_per_s = NODES / REPORT_PERIOD_S
    busy_percent = (reports_per_s * report_us / 1e6 + judgements_per_s * judgement_ms / 1e3) * 100
    return [
        Row(
            role,
            "bytes received when every node calls the service",
            f"{NODES} / {REPORT_PERIOD_S:g} s x {size:g} B",
            reports_per_s * size,
            "B/s",
            f"{MAX_BYTES_PER_S:.0f}, **exceeded**",
        ),
        Row(
            role,
            "processor time while the move runs",
            f"{reports_per_s:.0f}/s x {report_us:g} us"
            f" + {judgements_per_s:g}/s x {judgement_ms:g} ms",
            busy_percent,
            "% of a core",
            f"{MAX_CPU_PERCENT}, **exceeded**",
        ),
    ]


def _compute_configuration() -> list[Row]:
    snapshot = make_snapshot(services=SERVICES)
    size = len(encode_snapshot(snapshot))
    parts = split_snapshot(snapshot, compute_digest(snapshot), session=1, part_bytes=32_768)
    packed = sum(len(part.data) for part in parts)
    return [
        Row("platform", "head with 43 services, 129 routes, 200 subscribers", "encoded", size, "B"),
        Row("every node", "the same whole to a returning node", "compressed", packed, "B"),
        Row(
            "platform",
            "services at which the head fills one value",
            f"{SERVICES} x {PLATFORM_VALUE_BYTES} / {size}",
            SERVICES * PLATFORM_VALUE_BYTES / size,
            "services",
        ),
    ]


def render_rows(rows: Iterable[Row]) -> str:
    """Return the lines as a table."""
    lines = ["| role | quantity | arithmetic | value | bound |", "| --- | --- | --- | --- | --- |"]
    for row in rows:
        value = f"{row.value:.4g} {row.unit}"
        lines.append(f"| {row.role} | {row.quantity} | {row.arithmetic} | {value} | {row.bound} |")
    return "\n".join(lines)


def render_sources(measured: dict[str, Measured]) -> str:
    """Return where each figure comes from as a table."""
    lines = [
        "| figure | value | at nodes | slope by node | command | seed |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for each in measured.values():
        value = f"{each.value:g} {each.unit}"
        lines.append(
            f"| {each.name} | {value} | {each.nodes} | {each.slope_per_node:g} "
            f"| `{each.command}` | {each.seed} |"
        )
    return "\n".join(lines)
