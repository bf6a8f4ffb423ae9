"""The command that runs an upstream stand-in as a process."""

import signal
import sys
from typing import Any

import click
import msgspec
from twisted.internet.defer import Deferred

from corianderwall.httpflow.reactor import install_reactor
from corianderwall.standins.upstream_settings import Switches, UpstreamSettings

DRAIN_QUIET_S = 3.0


@click.command("upstream")
@click.option("--service", default="service")
@click.option("--version", default="v1")
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0, help="Port to listen on; 0 selects a free one. It is printed.")
@click.option("--node-host", default="127.0.0.1")
@click.option("--node-port", default=0, help="Port of the node to announce to; 0 for none.")
@click.option("--slots", default=6)
@click.option("--queue", default=24)
@click.option("--connections", default=110)
@click.option("--cold-start-ms", default=0.0)
@click.option("--seed", default=1)
@click.option("--work-ms", default=0.0, help="How long a call takes.")
@click.option("--switches", default="{}", help="Further switches as JSON.")
@click.option("--with-path", is_flag=True, help="Add a relay that can silently stop forwarding.")
def upstream(*, switches: str, work_ms: float, with_path: bool, **options: Any) -> None:
    """Run an upstream stand-in until it is terminated; SIGTERM drains it."""
    parsed_switches = msgspec.json.decode(switches, type=Switches)
    if work_ms:
        parsed_switches.work_ms = work_ms
    settings = UpstreamSettings(switches=parsed_switches, **options)
    install_reactor()
    _run(settings, with_relay=with_path)


def _run(settings: UpstreamSettings, *, with_relay: bool) -> None:
    from twisted.internet import reactor as installed

    from corianderwall.standins.upstream import UpstreamStandin

    reactor: Any = installed

    async def start() -> None:
        standin = UpstreamStandin(settings, with_relay=with_relay)
        address = await standin.start()
        click.echo(f"listening {address}")
        sys.stdout.flush()

        def drain(*_: object) -> None:
            drained = standin.drain(standin.loop.time() + DRAIN_QUIET_S)
            drained.addCallback(lambda _: reactor.stop())

        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(drain))

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(start()).addErrback(_stop_on_failure))
    reactor.run()


def _stop_on_failure(failure: Any) -> None:
    click.echo(failure.getTraceback(), err=True)
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.stop()
