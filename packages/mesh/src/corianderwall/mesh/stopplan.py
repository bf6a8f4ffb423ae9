"""Schedules the shutdown of a node, and decides which calls still fit into it."""

import math
from dataclasses import dataclass

READINESS_DELAY_S = 2.6
"""Time after SIGTERM for which new calls may still come in; two failed readiness probes."""
SERVE_FRACTION = 0.4
"""Fraction of the grace period for which the endpoint gets calls; they end in the rest of it."""
STOP_MARGIN_S = 0.4
"""Time reserved at the end of the grace period for the process to exit."""
RESPONSE_MARGIN_S = 0.15
"""Time for the last responses to reach their callers; ten times their usual network time."""


@dataclass(frozen=True, slots=True)
class StopPlan:
    """The schedule of a shutdown, in monotonic seconds.

    The endpoint gets calls until `serve_until`, new calls of callers are expected until
    `no_new_calls_from`, and running calls end by `end`.
    """

    serve_until: float = math.inf
    no_new_calls_from: float = math.inf
    end: float = math.inf

    @property
    def latest_response(self) -> float:
        """Return when the last responses must have been written."""
        return self.end - RESPONSE_MARGIN_S

    def admits_call(self, now: float, ends_by: float) -> bool:
        """Return whether a caller's call, which may last until `ends_by`, may be sent at `now`.

        Callers cannot know of the shutdown before `no_new_calls_from`, and most of their calls end
        well before `ends_by`. A later one must not be broken off at the end.
        """
        return now <= self.no_new_calls_from or ends_by <= self.latest_response

    def admits_peer_call(self, ends_by: float, *, idempotent: bool) -> bool:
        """Return whether the endpoint may get a call of a peer, which may last until `ends_by`.

        The peer can use another endpoint at once, or repeat an idempotent call that is broken off.
        """
        return idempotent or ends_by <= self.end


NO_STOP = StopPlan()
"""The schedule of a node that goes on running."""


def plan_stop(began: float, grace_s: float) -> StopPlan:
    """Return the schedule of a shutdown that began with SIGTERM at `began`.

    The endpoint goes on running, and its slots are idle from `serve_until` until the next process
    here is ready, so the endpoint gets calls for as long as possible.
    """
    return StopPlan(
        serve_until=began + min(READINESS_DELAY_S, grace_s * SERVE_FRACTION),
        no_new_calls_from=began + READINESS_DELAY_S,
        end=began + grace_s - STOP_MARGIN_S,
    )
