"""Paces the calls to an endpoint that has just started or recovered.

Load pattern: an endpoint starts cold in front of a full demand, alone or with all others after a
power loss. A cold endpoint that gets more calls than it tolerates crashes and starts cold again.
"""

import math
from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 1.0
"""Length of the sliding window in which the operator's terms count the calls to a cold endpoint."""
BURST_CALLS = 2.0
"""Calls above the stated rate that may start in one window, so that no credit is lost to timers."""
BOUND_RESERVE_CALLS = 4.0
"""Calls kept below the bound: two health checks, and calls that start late and arrive together."""
STATEMENT_MARGIN_S = 0.05
"""Time for which a stated warm-up is extended, for the delay of a busy endpoint's own timer."""
CHECK_FRACTION = 0.5
"""Fraction of the unconfirmed calls after which the endpoint is asked whether it is warm; the rest
lasts for the time of a health check even at ten times the stated rate."""
CHECK_RETRY_S = 0.1
"""Time until a health check without a response is repeated; a few usual response times."""
COLD_TIME_FACTOR = 2.0
"""How much longer calls take at a cold endpoint, by the platform's protocol."""
FIRST_CONCURRENCY = 2.0
"""Calls that run at once at a cold endpoint without a stated rate before any has returned."""
FAST_RATIO = 1.5
"""Ratio to the usual call time up to which a round of calls counts as fast; midway between warm and
cold."""
SLOW_RATIO = 3.0
"""Ratio from which a round counts as slow; half as much again as a cold endpoint needs."""
FAST_GROWTH = 2.0
"""Factor on the concurrency after a fast round; five rounds reach the slots of any endpoint."""
SHRINK_FACTOR = 0.5
"""Factor on the concurrency after a slow round or a shed call."""
MIN_ROUND_CALLS = 6
"""Calls in a round at least; with 3, the scatter of call times let some cold rounds count as fast
in the model, and endpoints crashed."""
USUAL_WEIGHT = 0.15
"""Weight of the newest call in the usual time of a route, as in the queue's own means."""


@dataclass(slots=True)
class ConcurrencyRamp:
    """The number of calls that may run at once at a cold endpoint that states no rate.

    It is changed once for each round of as many calls as may run at once. A round in which fewer
    calls ran at once says nothing about a higher limit.
    """

    limit: float = FIRST_CONCURRENCY
    _peak: int = 0
    _ratios: list[float] = field(default_factory=list)
    _kept_until: float = -math.inf

    def count_start(self, running: int) -> None:
        """Record that a call makes `running` calls run at once."""
        self._peak = max(self._peak, running)

    def record_response(self, ratio: float, now: float) -> None:
        """Record a response that took `ratio` times the usual time."""
        self._ratios.append(ratio)
        if len(self._ratios) < max(MIN_ROUND_CALLS, int(self.limit)):
            return
        mean = sum(self._ratios) / len(self._ratios)
        used = self._peak >= int(self.limit)
        self._ratios.clear()
        self._peak = 0
        if mean > SLOW_RATIO:
            self.shrink(now, 0.0)
        elif used and mean <= FAST_RATIO:
            self.limit *= FAST_GROWTH

    def shrink(self, now: float, usual_s: float) -> None:
        """Lower the limit, but only once for the calls that run at the same time."""
        if now < self._kept_until:
            return
        self._kept_until = now + usual_s * COLD_TIME_FACTOR
        self.limit = max(1.0, self.limit * SHRINK_FACTOR)


@dataclass(slots=True)
class Pace:
    """Says when the next call may start at an endpoint that may be cold.

    With a stated rate, no sliding second gets more calls than this rate and a small burst. As
    an endpoint may become cold without notice, the calls since it last said that it is warm are
    counted too: before they could reach the operator's bound, they are paced until it says so
    again. Without a stated rate, the number of calls that run at once is limited.

    A process that has just started assumes that its predecessor has used up the credit. Without
    `warmup_s` and `warmup_per_s` there is no pace. Instants are monotonic seconds.
    """

    cold_over: float = 1.5
    cold_slack: float = 8.0
    warmup_s: float = 0.0
    rate_per_s: float = 0.0
    ramp: ConcurrencyRamp = field(default_factory=ConcurrencyRamp)
    _cold_until: float = -math.inf
    _tokens: float = 0.0
    _updated_at: float = -math.inf
    _starts: deque[float] = field(default_factory=deque)
    _unconfirmed: int = 0
    _since_check: int = 0
    _is_told: bool = False
    _checks: int = 0
    _open_check: int = 0
    _check_not_before: float = -math.inf
    _answers_checks: bool = True
    _usual_s: dict[str, float] = field(default_factory=dict)

    @property
    def is_configured(self) -> bool:
        """Return whether the service has a warm-up."""
        return self.warmup_s > 0.0 or self.rate_per_s > 0.0

    def configure(self, warmup_s: float, warmup_per_s: float, now: float) -> bool:
        """Set what the configuration states; return whether it has changed."""
        self._is_told = True
        if (warmup_s, warmup_per_s) == (self.warmup_s, self.rate_per_s):
            return False
        self._refill(now)
        self.warmup_s, self.rate_per_s = warmup_s, warmup_per_s
        self._answers_checks = True
        return True

    def assume_rate(self, rate_per_s: float, now: float) -> None:
        """Use the pace of an earlier process here, until the configuration is known."""
        if not self._is_told:
            self.configure(0.0, rate_per_s, now)
            self._is_told = False

    # What is known of the endpoint.

    def record_statement(self, left_s: float, now: float) -> None:
        """Record how much longer the endpoint says it will be cold, 0 if it is warm."""
        if left_s > 0.0:
            if not self.is_cold(now):
                self.ramp = ConcurrencyRamp()
            self._cold_until = now + left_s + STATEMENT_MARGIN_S
        else:
            self._cold_until = -math.inf
        self._unconfirmed = 0

    def expect_cold(self, now: float) -> None:
        """Count the endpoint as cold until it says what it is."""
        if not self.is_cold(now):
            self.ramp = ConcurrencyRamp()
        self._cold_until = math.inf
        self._open_check = 0

    def restart(self) -> None:
        """Start over for an endpoint that has started or crashed; its credit stays used up."""
        self.ramp = ConcurrencyRamp()
        self._cold_until = math.inf
        self._unconfirmed = 0
        self._open_check = 0
        self._answers_checks = True

    def is_paced(self, now: float) -> bool:
        """Return whether the endpoint counts as cold or is not confirmed to be warm."""
        return self.is_cold(now) or self._is_rated(now)

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint counts as cold."""
        return self.is_configured and now < self._cold_until

    # Health checks of an endpoint that may have become cold.

    def needs_check(self, now: float) -> bool:
        """Return whether the endpoint should be asked now whether it is warm."""
        if not self.is_configured or not self._answers_checks:
            return False
        if self._open_check or now < self._check_not_before:
            return False
        if self._cold_until == math.inf:
            return self.permits(now)
        if not self.rate_per_s or self.is_cold(now):
            return False
        return self._unconfirmed >= self._max_unconfirmed * CHECK_FRACTION

    def begin_check(self, now: float) -> int:
        """Count a health check, which arrives at the endpoint like a call; return its number."""
        self.take(now, 1)
        self._checks += 1
        self._open_check = self._checks
        self._since_check = 0
        return self._checks

    def end_check(self, check: int, left_s: float | None, now: float, *, answered: bool) -> None:
        """Record the statement in the response to a health check, None if it has none."""
        if check != self._open_check:
            # The response may have been sent before the event that has made it void.
            return
        self._open_check = 0
        if left_s is not None:
            since = self._since_check
            self.record_statement(left_s, now)
            # These calls may have come after the endpoint made the statement.
            self._unconfirmed = since
            return
        self._check_not_before = now + CHECK_RETRY_S
        if answered:
            self._answers_checks = False

    # Starts of calls and their results.

    def permits(self, now: float) -> bool:
        """Return whether a call may start, given that it gets one of the slots."""
        if not self._is_rated(now):
            return True
        return self._estimate_credit_wait(now, 0) <= 0.0

    def limit_slots(self, slots: int, now: float) -> int:
        """Return how many calls may run at once."""
        if self.rate_per_s or not self.is_cold(now):
            return slots
        return min(slots, int(self.ramp.limit))

    def take(self, now: float, running: int) -> None:
        """Count a call that starts, with which `running` calls run."""
        if not self.is_configured:
            return
        self.ramp.count_start(running)
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1.0)
        self._starts.append(now)
        # While the endpoint is known to be cold there is nothing to confirm.
        self._unconfirmed = 0 if self.is_cold(now) else self._unconfirmed + 1
        self._since_check += 1

    def estimate_wait(self, now: float, ahead: int) -> float:
        """Return the seconds until a call may start that has `ahead` other calls before it."""
        if not self._is_rated(now):
            return 0.0
        wait_s = self._estimate_credit_wait(now, ahead)
        return min(wait_s, self._cold_until - now) if self.is_cold(now) else wait_s

    def estimate_rate(self, now: float, slots: int, call_s: float) -> float | None:
        """Return how many calls a second may start, None if the endpoint counts as warm."""
        if not self.is_cold(now):
            return None
        if self.rate_per_s:
            return self.rate_per_s
        limit = self.limit_slots(slots, now)
        return limit / max(call_s, 0.001) if limit < slots else None

    def estimate_time_factor(self, now: float) -> float:
        """Return how many times longer than usual calls are expected to take."""
        is_known = math.isfinite(self._cold_until)
        return COLD_TIME_FACTOR if is_known and self.is_cold(now) else 1.0

    def count_recent(self, now: float) -> int:
        """Return how many calls have started in the last second."""
        self._refill(now)
        return len(self._starts)

    def record_response(self, route: str, took_s: float, now: float) -> None:
        """Record a response that took `took_s`."""
        if not self.is_configured:
            return
        usual_s = self._usual_s.get(route)
        if not self.is_cold(now):
            previous = took_s if usual_s is None else usual_s
            self._usual_s[route] = previous + USUAL_WEIGHT * (took_s - previous)
            return
        if usual_s is None:
            # Without a warm call to compare with, the limit stays where it is.
            return
        self.ramp.record_response(took_s / max(usual_s, 0.001), now)

    def record_refusal(self, route: str, now: float) -> None:
        """Record a call that the endpoint has shed or lost."""
        if self.is_cold(now):
            self.ramp.shrink(now, self._usual_s.get(route, 0.0))

    # Internals.

    @property
    def _max_unconfirmed(self) -> float:
        bound = self.rate_per_s * self.cold_over + self.cold_slack
        return max(1.0, bound - BOUND_RESERVE_CALLS)

    @property
    def _max_in_window(self) -> float:
        return min(self.rate_per_s + BURST_CALLS, self._max_unconfirmed)

    def _is_rated(self, now: float) -> bool:
        """Return whether calls are paced by the stated rate."""
        if not self.rate_per_s:
            return False
        in_doubt = self._answers_checks and self._unconfirmed >= self._max_unconfirmed
        return in_doubt or self.is_cold(now)

    def _estimate_credit_wait(self, now: float, ahead: int) -> float:
        self._refill(now)
        missing = ahead + 1 - self._tokens
        wait_s = missing / self.rate_per_s if missing > 1e-6 else 0.0
        room = math.floor(self._max_in_window) - len(self._starts)
        if room > 0:
            return wait_s
        # The window has room again once enough of its calls are older than it.
        return max(wait_s, self._starts[min(-room, len(self._starts) - 1)] + WINDOW_S - now)

    def _refill(self, now: float) -> None:
        if now > self._updated_at:
            if math.isfinite(self._updated_at):
                gained = (now - self._updated_at) * self.rate_per_s
                self._tokens = min(BURST_CALLS, self._tokens + gained)
            self._updated_at = now
        while self._starts and self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()


def parse_left_s(raw: bytes | None) -> float | None:
    """Return the seconds of warm-up left in a header in milliseconds, None without a valid one."""
    try:
        left_ms = float(raw) if raw is not None else math.nan
    except ValueError:
        return None
    return left_ms / 1000 if 0.0 <= left_ms < math.inf else None
