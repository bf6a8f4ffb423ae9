"""Selects the log lines of the nodes that explain the outcome of one request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import click

REQUEST_FIELD = "request"
FINGERPRINT_FIELD = "fingerprint"
CALLS_FIELD = "calls"
"""Calls that ran when an endpoint crashed, each by its id and its fingerprint."""
CONTEXT_S = 5.0
"""Lines without a request are shown from this long before the request's first line."""
HIDDEN_FIELDS = frozenset({"time", "level", "node", "zone", "message", REQUEST_FIELD})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log; `fields` holds only the fields particular to its message."""

    time: float
    node: str
    message: str
    request: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of a node's log; other text is ignored."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(raw, dict) or "message" not in raw or "time" not in raw:
            continue
        yield LogLine(
            time=float(raw["time"]),
            node=str(raw.get("node", "")),
            message=str(raw["message"]),
            request=str(raw.get(REQUEST_FIELD, "")),
            fields={name: value for name, value in raw.items() if name not in HIDDEN_FIELDS},
        )


def select_request_lines(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of `request`, the state changes of its nodes from shortly before on, and the
    crashes of endpoints that ran it or another attempt of it.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if line.request == request]
    if not request_lines:
        return []
    nodes = {line.node for line in request_lines}
    names = {request, *(str(line.fields.get(FINGERPRINT_FIELD, "")) for line in request_lines)}
    first_time, last_time = request_lines[0].time - CONTEXT_S, request_lines[-1].time
    return [
        line
        for line in ordered
        if line.request == request
        or _lists_call(line, names)
        or (not line.request and line.node in nodes and first_time <= line.time <= last_time)
    ]


def _lists_call(line: LogLine, names: set[str]) -> bool:
    """Return whether the line lists a call with this id or fingerprint."""
    calls = line.fields.get(CALLS_FIELD, [])
    return any(name in names for call in calls for name in str(call).split())


@click.command("explain-request")
@click.argument("request")
@click.argument("logs", nargs=-1, type=click.File("r"), required=True)
def explain_request(request: str, logs: tuple[Iterable[str], ...]) -> None:
    """Show the outcome of REQUEST, a request id, from the nodes' LOGS.

    Lines marked with * belong to the request; the others are state changes of its nodes.

    Example: corianderwall ctl explain-request 9c41d07be2a35f68 node-*.log
    """
    lines = [line for log in logs for line in read_lines(log)]
    selected = select_request_lines(lines, request)
    if not selected:
        raise click.ClickException(f"none of {len(lines)} lines belongs to the request {request}")
    for line in selected:
        mark = "*" if line.request else " "
        details = " ".join(f"{name}={value}" for name, value in line.fields.items())
        click.echo(f"{mark} {line.time:.3f} {line.node} {line.message}: {details}")
