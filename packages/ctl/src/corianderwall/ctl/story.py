"""Tells from the nodes' logs what became of one request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import click

REQUEST_FIELD = "request"
CONTEXT_S = 5.0
"""Lines without a request that are shown if they come at most this long before."""
HIDDEN_FIELDS = frozenset({"time", "level", "node", "zone", "message", REQUEST_FIELD})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log; `fields` are those that its message needs."""

    time: float
    node: str
    message: str
    request: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines that are a node's log; anything else is passed over."""
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


def select_story(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of `request`, and what its nodes came to believe shortly before."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.request == request]
    if not own:
        return []
    nodes = {line.node for line in own}
    first, last = own[0].time - CONTEXT_S, own[-1].time
    return [
        line
        for line in ordered
        if line.request == request
        or (not line.request and line.node in nodes and first <= line.time <= last)
    ]


@click.command("explain-request")
@click.argument("request")
@click.argument("logs", nargs=-1, type=click.File("r"), required=True)
def explain_request(request: str, logs: tuple[Iterable[str], ...]) -> None:
    """Tell from the nodes' LOGS what became of REQUEST, a request's id.

    Lines marked with * are of the request; the others show what its nodes came to believe.

    Example: corianderwall ctl explain-request 9c41d07be2a35f68 node-*.log
    """
    lines = [line for log in logs for line in read_lines(log)]
    story = select_story(lines, request)
    if not story:
        raise click.ClickException(f"no line of {len(lines)} names the request {request}")
    for line in story:
        mark = "*" if line.request else " "
        details = " ".join(f"{name}={value}" for name, value in line.fields.items())
        click.echo(f"{mark} {line.time:.3f} {line.node} {line.message}: {details}")
