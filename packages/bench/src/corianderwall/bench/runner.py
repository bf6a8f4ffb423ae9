"""Runs one measurement by name and prints its result as one JSON object on the last line."""

import importlib
import json

import click

from corianderwall.bench.running import install_reactor

MODULES = {
    name: f"corianderwall.bench.{name.replace('-', '_')}"
    for name in (
        "added-latency",
        "at-most-once",
        "capacity",
        "cold-start",
        "control-cost",
        "convergence",
        "drain",
        "fair-share",
        "footprint",
        "moves",
        "overload",
        "quotas",
        "partition",
        "platform-cost",
        "platform-path",
        "policies",
        "recovery",
        "retry-amplification",
    )
}


@click.command(context_settings={"ignore_unknown_options": True})
@click.argument("name", type=click.Choice(sorted(MODULES)))
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def measure(name: str, arguments: tuple[str, ...]) -> None:
    """Run the measurement NAME.

    Example: make -s measure WHAT=footprint ARGS="--seed 7"
    """
    # Some modules import libraries that would install another reactor.
    install_reactor()
    module = importlib.import_module(MODULES[name])
    click.echo(json.dumps(module.measure(list(arguments))))
