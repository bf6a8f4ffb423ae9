"""The plainest mesh: a process that passes each call on to one upstream."""

import asyncio
import cProfile
import sys

import click

from corianderwall.bench.running import install_reactor
from corianderwall.httpflow.attempt import OutgoingCall
from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.httpflow.relay import relay
from corianderwall.httpflow.server import CallServer
from corianderwall.model.endpoint import Address

TIMEOUT_S = 10.0


class Forwarder:
    """Forwards every call to one upstream."""

    def __init__(self, upstream: Address, max_connections: int) -> None:
        self._pool = UpstreamPool(upstream, max_connections)
        self._loop = asyncio.get_event_loop()

    def handle(self, call: IncomingCall) -> None:
        """Forward `call`."""
        outgoing = OutgoingCall(
            method=call.method,
            target=call.target,
            headers=call.headers,
            deadline=self._loop.time() + TIMEOUT_S,
            idempotent=call.method == b"GET",
        )
        relay(call, self._pool, outgoing)


@click.command()
@click.option("--port", default=0)
@click.option("--upstream-port", required=True, type=int)
@click.option("--connections", default=110)
@click.option("--profile", default="", help="File for the profile, written at the end.")
def main(*, port: int, upstream_port: int, connections: int, profile: str) -> None:
    """Forward calls until terminated."""
    reactor = install_reactor()
    profiler = cProfile.Profile()

    async def start() -> None:
        handler = Forwarder(Address(host="127.0.0.1", port=upstream_port), connections)
        address = await CallServer(handler).listen("127.0.0.1", port)
        sys.stdout.write(f"listening {address}\n")
        sys.stdout.flush()
        if profile:
            profiler.enable()

    from twisted.internet.defer import Deferred

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(start()))
    reactor.run()
    if profile:
        profiler.disable()
        profiler.dump_stats(profile)


if __name__ == "__main__":
    main()
