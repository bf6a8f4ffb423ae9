"""Waits until a call may run that must not run beside others of its connection."""

import asyncio
import math

from twisted.internet.defer import Deferred

from corianderwall.httpflow.call import IncomingCall


async def wait_for_turn(call: IncomingCall, deadline: float) -> bool:
    """Return whether all calls before `call` were answered by `deadline` (monotonic seconds).

    Call this before the handler of `call` returns; no call behind it is handled before its own
    response has ended.
    """
    turn: Deferred[bool] = Deferred()

    def end(came: bool) -> None:
        if not turn.called:
            turn.callback(came)

    call.run_alone(lambda: end(True))
    timer = None
    if not turn.called and deadline < math.inf:
        timer = asyncio.get_running_loop().call_at(deadline, end, False)
    try:
        return await turn
    finally:
        if timer is not None:
            timer.cancel()
