"""The command that runs the demo."""

import click
from absl import logging

from corianderwall.httpflow.reactor import install_reactor


@click.command()
def demo() -> None:
    """Run a whole mesh on loopback in this process and print what happens.

    Exits with 0 if every step succeeded, with 1 otherwise.

    Example: corianderwall demo
    """
    install_reactor()
    # Both import the reactor, so they must come after its installation.
    from twisted.internet import reactor

    from corianderwall.app.demo import run_demo

    logging.set_verbosity(logging.ERROR)
    failure = run_demo(reactor)
    if failure:
        raise click.ClickException(failure)
