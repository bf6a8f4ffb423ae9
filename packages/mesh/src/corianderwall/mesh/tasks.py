"""Runs coroutines: calls as coroutines of Twisted, background work as tasks of asyncio.

A coroutine of Twisted goes on in the same turn of the loop in which its result has come. Tasks of
asyncio need a turn for each step, and each turn is a system call.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from corianderwall.node.logs import log_error

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]
"""Runs a coroutine as a task that is logged if it fails."""


def run_call(work: Coroutine[Deferred[Any], Any, None]) -> Callable[[], None]:
    """Run the work on a call until it ends, and return what cancels it.

    A failure is logged; a cancelled call is none.
    """
    running = Deferred.fromCoroutine(work)
    running.addErrback(_log_failure)
    return running.cancel


def _log_failure(failure: Failure) -> None:
    if not isinstance(failure.value, CancelledError):
        log_error("the work on a call failed", error=repr(failure.value))
