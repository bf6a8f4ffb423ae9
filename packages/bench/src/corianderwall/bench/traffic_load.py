"""Arrivals of calls and the project's balancer for the traffic model."""

from bisect import bisect
from itertools import accumulate
from random import Random

from corianderwall.bench.traffic_model import Call, TrafficModel
from corianderwall.model.endpoint import Locality
from corianderwall.traffic.balancer import Balancer

DEADLINE_S = 2.0
LONG_AGO_UNIX_MS = 3_600_000


def make_balancer(model: TrafficModel, locality: Locality) -> Balancer:
    """Return a balancer that knows the endpoints of `model`, all started long ago."""
    balancer = Balancer(locality, model.random)
    for endpoint in model.endpoints:
        balancer.upsert(endpoint, 0.0, LONG_AGO_UNIX_MS)
    return balancer


class Arrivals:
    """Poisson arrivals of some subscribers, each at `rate_per_s`."""

    def __init__(
        self,
        model: TrafficModel,
        random: Random,
        names: list[str],
        rate_per_s: float,
        start: float,
        *,
        spread: int,
    ) -> None:
        self._model = model
        self._random = random
        self._bounds = list(accumulate(rate_per_s for _ in names))
        self._names = names
        self._spread = spread
        model.clock.call_after(start, self._arrive)

    def _arrive(self) -> None:
        random = self._random
        name = self._names[bisect(self._bounds, random.random() * self._bounds[-1])]
        now = self._model.clock.now
        call = Call(name, random.randrange(self._spread), now, now + DEADLINE_S)
        self._model.entries[call.entry].start(call)
        self._model.clock.call_after(random.expovariate(self._bounds[-1]), self._arrive)
