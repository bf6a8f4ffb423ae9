"""Requests that may not be repeated, sent through the mesh while everything fails."""

from collections.abc import Mapping

import click

from corianderwall.bench.running import install_reactor, run_session


@click.command()
@click.option("--requests", default=10_000)
@click.option("--seed", default=11)
def command(**options: int) -> dict[str, int]:
    """Count what ran twice, was refused falsely, or reached the wrong caller."""
    return options


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return the counts of one trial."""
    options = command(arguments, standalone_mode=False)
    install_reactor()
    # It imports the reactor, which had to be installed before.
    from corianderwall.bench.at_most_once_trial import Trial

    return run_session(lambda: Trial(options["requests"], options["seed"]).run())
