"""A clock that runs only as far as the events of a traffic model need."""

import heapq
from collections.abc import Callable
from functools import partial
from typing import ParamSpec

Arguments = ParamSpec("Arguments")


class VirtualClock:
    """Runs events in the order of their instants, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[[], object]]] = []

    def call_after(
        self,
        delay_s: float,
        event: Callable[Arguments, object],
        /,
        *args: Arguments.args,
        **kwargs: Arguments.kwargs,
    ) -> None:
        """Run `event` in `delay_s` from now."""
        self._sequence += 1
        instant = self.now + max(0.0, delay_s)
        bound: Callable[[], object] = partial(event, *args, **kwargs)
        heapq.heappush(self._events, (instant, self._sequence, bound))

    def repeat(self, period_s: float, event: Callable[[], object]) -> None:
        """Run `event` now and every `period_s`."""
        event()
        self.call_after(period_s, self.repeat, period_s, event)

    def run_until(self, instant: float) -> None:
        """Run all events up to `instant`."""
        while self._events and self._events[0][0] <= instant:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = instant
