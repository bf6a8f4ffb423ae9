"""Runs coroutines: calls as coroutines of Twisted, background work as tasks of asyncio.

A coroutine of Twisted goes on in the same turn of the loop in which its result has come. Tasks of
asyncio need a turn for each step, and each turn is a system call.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from corianderwall.httpflow.call import IncomingCall
from corianderwall.node.logs import log_error

INTERNAL_ERROR = 500

Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]
"""Runs a coroutine as a task that is logged if it fails."""


def run_call(call: IncomingCall, work: Coroutine[Deferred[Any], Any, None]) -> None:
    """Run the work on `call` until it ends or the caller leaves.

    A failure is logged and answered with 500, which promises nothing.
    """
    running = Deferred.fromCoroutine(work)
    running.addErrback(_end_failed, call)
    if call.is_open:
        call.on_disconnect = running.cancel


def _end_failed(failure: Failure, call: IncomingCall) -> None:
    if isinstance(failure.value, CancelledError):
        return
    log_error("the work on a call failed", error=repr(failure.value))
    if call.is_open and call.answered:
        call.abort_answer()
    elif call.is_open:
        call.respond(INTERNAL_ERROR, [])
