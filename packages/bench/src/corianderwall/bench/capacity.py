"""Checks that the arithmetic of docs/CAPACITY.md follows from the measured figures."""

import argparse
import re
from collections.abc import Mapping
from pathlib import Path

from corianderwall.bench.capacity_model import (
    NODES,
    Measured,
    compute_rows,
    find_first_break,
    load_measured,
    render_rows,
    render_sources,
)

PAGE = Path("docs/CAPACITY.md")
FIGURES = Path("docs/measurements/slopes.json")
BEGIN = "<!-- begin: written by `make -s measure WHAT=capacity ARGS=--write` -->"
END = "<!-- end -->"


class PageStaleError(Exception):
    """The page does not follow from the measured figures."""


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return the totals at the stated size; raise if the page says otherwise."""
    parser = argparse.ArgumentParser(prog="capacity")
    parser.add_argument("--write", action="store_true", help="write the tables of the page anew")
    parser.add_argument("--page", type=Path, default=PAGE)
    parser.add_argument("--figures", type=Path, default=FIGURES)
    options = parser.parse_args(arguments)
    measured = load_measured(options.figures)
    text = options.page.read_text()
    current = replace_tables(text, measured)
    if options.write:
        options.page.write_text(current)
    elif text != current:
        raise PageStaleError(f"{options.page} is stale: run capacity with --write and read it")
    name, nodes = find_first_break(measured)
    totals = {row.quantity: round(row.value, 4) for row in compute_rows(measured)}
    return {"nodes": NODES, "totals": totals, "breaks_first": name, "breaks_at_nodes": nodes}


def replace_tables(text: str, measured: dict[str, Measured]) -> str:
    """Return the page with its generated part made anew."""
    name, nodes = find_first_break(measured)
    parts = [
        BEGIN,
        render_rows(compute_rows(measured)),
        f"By these slopes a node first reaches its bound of `{name}` at {nodes} nodes.",
        "Where the figures come from:",
        render_sources(measured),
        END,
    ]
    generated = "\n\n".join(parts)
    pattern = re.escape(BEGIN) + ".*" + re.escape(END)
    found = re.search(pattern, text, re.DOTALL)
    if found is None:
        raise PageStaleError("the page has no generated part")
    return text[: found.start()] + generated + text[found.end() :]
