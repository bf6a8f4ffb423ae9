"""The latency that the mesh adds to a call: the same calls direct and through it, in turn."""

from collections.abc import Mapping
from typing import Any

import click

from corianderwall.bench.running import install_reactor, run_session


@click.command()
@click.option("--mesh", default="node", type=click.Choice(["node", "local", "forwarder"]))
@click.option("--turns", default=30, help="Turns of each side.")
@click.option("--seconds", default=0.5, help="Length of one turn.")
@click.option("--saturation-seconds", default=5.0)
@click.option("--generators", default=3, help="Load generators at saturation.")
@click.option("--seed", default=7)
@click.option("--settle", default=36.0, help="Seconds until a new owner grants leases, for `node`.")
@click.option("--profile", default="", help="File for a profile of the plain forwarder.")
def command(**options: Any) -> dict[str, Any]:
    """Measure the latency that the mesh adds.

    Through `node`, an entry node on another host than the upstream's; `local`, the node beside
    the upstream; or `forwarder`, a process that does nothing but pass calls on.
    """
    return options


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return the percentiles of both sides, what was added, and the limits at saturation."""
    options = command(arguments, standalone_mode=False)
    install_reactor()
    # It imports the reactor, which had to be installed before.
    from corianderwall.bench.added_latency_trial import Trial

    return run_session(Trial(options).run)
