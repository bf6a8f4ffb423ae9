"""Runs a measurement in the reactor of its own process."""

import asyncio
import sys
from typing import TYPE_CHECKING, Any, TypeVar

from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred

from corianderwall.httpflow.reactor import install_reactor as install_new_reactor

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from twisted.python.failure import Failure

Result = TypeVar("Result")


def install_reactor() -> Any:
    """Install Twisted's asyncio reactor on uvloop, unless there is one, and return it.

    To be called before anything imports the reactor, as `treq` and `klein` do.
    """
    if "twisted.internet.reactor" not in sys.modules:
        install_new_reactor()
    from twisted.internet import reactor

    if not isinstance(reactor, asyncioreactor.AsyncioSelectorReactor):
        raise RuntimeError("another reactor was installed before")
    return reactor


def run_session(session: "Callable[[], Coroutine[Any, Any, Result]]") -> Result:
    """Run `session` in the reactor and return its result; once in a process."""
    reactor = install_reactor()
    results: list[Result] = []
    failures: list[Failure] = []

    def start() -> None:
        ended = Deferred.fromCoroutine(session())
        ended.addCallbacks(results.append, failures.append)
        ended.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        failures[0].raiseException()
    if not results:
        raise RuntimeError("the session was interrupted")
    return results[0]


async def pause(seconds: float) -> None:
    """Let the reactor run for `seconds`."""
    sleeping = asyncio.get_event_loop().create_task(asyncio.sleep(seconds))
    await Deferred.fromFuture(sleeping)
