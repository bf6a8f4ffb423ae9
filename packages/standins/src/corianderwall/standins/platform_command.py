"""The command that runs the stand-in platform as a process."""

import asyncio
import sys
from typing import Any

import click
import uvloop
from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred


@click.command("platform")
@click.option("--port", default=0, help="0 takes a free one, which is printed.")
def platform(port: int) -> None:
    """Run a platform until the process is ended; print `listening HOST:PORT`."""
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    install: Any = asyncioreactor.install
    install(loop)
    from twisted.internet import reactor as installed

    from corianderwall.standins.platform import PlatformStandin

    reactor: Any = installed

    async def start() -> None:
        chosen = await PlatformStandin().start(port)
        click.echo(f"listening 127.0.0.1:{chosen}")
        sys.stdout.flush()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(start()))
    reactor.run()
