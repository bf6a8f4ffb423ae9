"""Runs coroutines: calls as Twisted coroutines, background work as asyncio tasks.

A Twisted coroutine resumes in the same iteration of the event loop in which its result arrives. An
asyncio task needs an iteration for each step, and each iteration makes a system call.
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
"""Runs a coroutine as a task and logs a failure."""


def run_call(call: IncomingCall, work: Coroutine[Deferred[Any], Any, None]) -> None:
    """Run `work` for `call` until it ends or the caller disconnects.

    A failure is logged; the response has status 500, which does not say whether the call ran.
    """
    running = Deferred.fromCoroutine(work)
    running.addErrback(_handle_failure, call)
    if call.is_open:
        call.on_disconnect = running.cancel


def _handle_failure(failure: Failure, call: IncomingCall) -> None:
    if isinstance(failure.value, CancelledError):
        return
    log_error("handling a call failed", error=repr(failure.value))
    if call.is_open and call.responded:
        call.abort_response()
    elif call.is_open:
        call.respond(INTERNAL_ERROR, [])
