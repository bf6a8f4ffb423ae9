"""The command that runs the demo."""

import click
from absl import logging

from corianderwall.httpflow.reactor import install_reactor


@click.command()
def demo() -> None:
    """Run a whole mesh on loopback in this process and tell what happens.

    Exits with 0 if every part did what it must, with 1 otherwise.

    Example: corianderwall demo
    """
    install_reactor()
    # Both need the reactor that was installed just now.
    from twisted.internet import reactor

    from corianderwall.app.demo import run_demo

    logging.set_verbosity(logging.ERROR)
    why = run_demo(reactor)
    if why:
        raise click.ClickException(why)
