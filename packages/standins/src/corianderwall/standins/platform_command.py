"""The command that runs the stand-in platform as a process."""

import sys
from typing import Any

import click
from twisted.internet.defer import Deferred

from corianderwall.httpflow.reactor import install_reactor


@click.command("platform")
@click.option("--port", default=0, help="Port to listen on; 0 selects a free one. It is printed.")
def platform(port: int) -> None:
    """Run a stand-in platform until it is terminated; print `listening HOST:PORT`."""
    install_reactor()
    from twisted.internet import reactor as installed

    from corianderwall.standins.platform import PlatformStandin

    reactor: Any = installed

    async def start() -> None:
        bound_port = await PlatformStandin().start(port)
        click.echo(f"listening 127.0.0.1:{bound_port}")
        sys.stdout.flush()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(start()))
    reactor.run()
