"""Planned stops under load: when the last new call comes, and how many calls are cut."""

from collections.abc import Mapping
from typing import Any

import click

from corianderwall.bench.running import install_reactor, run_session


@click.command()
@click.option("--rate", default=300.0, help="Calls a second over all nodes.")
@click.option("--seed", default=13)
def command(**options: Any) -> dict[str, Any]:
    """Drain an upstream, a node, and both together."""
    return options


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return the longest time to the last new call and the calls that were cut."""
    options = command(arguments, standalone_mode=False)
    install_reactor()
    # It imports the reactor, which had to be installed before.
    from corianderwall.bench.drain_trial import Trial

    return run_session(lambda: Trial(options["rate"], options["seed"]).run())
