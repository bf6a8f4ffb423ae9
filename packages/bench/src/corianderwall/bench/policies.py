"""Compares the balancer with plain policies under the same load and faults."""

import argparse
from collections.abc import Callable, Mapping, Set
from dataclasses import asdict, dataclass
from random import Random

from corianderwall.bench.traffic_load import Arrivals, make_balancer
from corianderwall.bench.traffic_model import OK, Call, Chooser, Response, TrafficModel, Upstream
from corianderwall.model.endpoint import Endpoint, Locality
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import Subscriber

ENDPOINTS = 6
SLOTS = 12
NODES = 20
ZONES = 4
SERVICE_S = 0.02
USE = 0.6
"""Offered calls relative to the capacity without faults."""
WARM_UP_S = 3.0
NAMES = ("a", "b", "c", "d")


class PlainChooser:
    """Base of the plain policies: knows all endpoints and its own outstanding calls."""

    def __init__(self, endpoints: list[Endpoint], random: Random) -> None:
        self.endpoints = endpoints
        self.random = random
        self.outstanding = {endpoint.name: 0 for endpoint in endpoints}

    def choose(
        self,
        service: str,
        version: str,
        now: float,
        exclude: Set[str] = frozenset(),
        over_share: Set[str] = frozenset(),
    ) -> Endpoint | None:
        """Return the endpoint of the next attempt."""
        left = [endpoint for endpoint in self.endpoints if endpoint.name not in exclude]
        return self.pick(left) if left else None

    def pick(self, left: list[Endpoint]) -> Endpoint:
        """Return one of `left` at random."""
        return self.random.choice(left)

    def start(self, name: str) -> int:
        """Note that an attempt begins."""
        self.outstanding[name] += 1
        return self.outstanding[name]

    def finish(
        self,
        outcome: AttemptOutcome,
        now: float,
        *,
        retry_after_s: float = 0.0,
        is_handed_over: bool = False,
    ) -> None:
        """Note the outcome of an attempt."""
        self.outstanding[outcome.endpoint] -= 1

    def report_load(self, name: str, running: int, now: float) -> None:
        """Take no notice of reports."""


class RoundRobinChooser(PlainChooser):
    """Takes the endpoints in turn."""

    def __init__(self, endpoints: list[Endpoint], random: Random) -> None:
        super().__init__(endpoints, random)
        self._next = random.randrange(len(endpoints))

    def pick(self, left: list[Endpoint]) -> Endpoint:
        """Return the next of `left`."""
        self._next += 1
        return left[self._next % len(left)]


class LeastOutstandingChooser(PlainChooser):
    """Takes the endpoint with the fewest own calls."""

    def pick(self, left: list[Endpoint]) -> Endpoint:
        """Return the endpoint of `left` with the fewest outstanding calls."""
        return min(left, key=lambda each: (self.outstanding[each.name], self.random.random()))


@dataclass(frozen=True, slots=True)
class PolicyRun:
    """What callers saw of one policy under one fault."""

    p50_ms: float
    p99_ms: float
    failed_permille: float


MakeChooser = Callable[[TrafficModel, Locality], Chooser]
Fault = Callable[[Upstream], None]

POLICIES: Mapping[str, MakeChooser] = {
    "corianderwall": make_balancer,
    "random": lambda model, _: PlainChooser(model.endpoints, model.random),
    "round_robin": lambda model, _: RoundRobinChooser(model.endpoints, model.random),
    "least_outstanding": lambda model, _: LeastOutstandingChooser(model.endpoints, model.random),
}


def _make_slow(upstream: Upstream) -> None:
    upstream.slowness = 5.0


def _make_slow_and_lying(upstream: Upstream) -> None:
    upstream.slowness = 5.0
    upstream.reported_load = 0


def _make_failing(upstream: Upstream) -> None:
    upstream.failure_rate = 1.0
    upstream.slowness = 0.05


def _make_refusing(upstream: Upstream) -> None:
    upstream.refuses = True


def _leave_healthy(upstream: Upstream) -> None:
    """Change nothing."""


FAULTS: Mapping[str, Fault] = {
    "none": _leave_healthy,
    "one_slow": _make_slow,
    "one_slow_that_reports_no_load": _make_slow_and_lying,
    "one_fails_fast": _make_failing,
    "one_refuses": _make_refusing,
}


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Run every policy under every fault of one endpoint, all calls direct."""
    parser = argparse.ArgumentParser(prog="policies")
    parser.add_argument("--seed", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args(arguments)
    runs = {
        fault: {
            policy: asdict(run_once(options.seed, options.seconds, policy, fault))
            for policy in POLICIES
        }
        for fault in FAULTS
    }
    return {"mode": "virtual", "seed": options.seed, "use": USE, "runs": runs}


def run_once(seed: int, seconds: float, policy: str, fault: str) -> PolicyRun:
    """Run one policy; the fault begins after the warm-up, when the figures begin."""
    random = Random(seed)
    model = TrafficModel(
        random=random,
        endpoints=ENDPOINTS,
        slots=SLOTS,
        nodes=NODES,
        zones=ZONES,
        service_s=SERVICE_S,
        subscribers=tuple(Subscriber(name=name) for name in NAMES),
        is_mixed=False,
    )
    model.add_entries(lambda locality: POLICIES[policy](model, locality))
    latencies: list[float] = []
    failed = 0

    def finish(call: Call, response: Response) -> None:
        nonlocal failed
        if call.started < WARM_UP_S:
            return
        if response.status == OK:
            latencies.append(model.clock.now - call.started)
        else:
            failed += 1

    model.finish = finish
    rate_per_s = ENDPOINTS * SLOTS / SERVICE_S * USE / len(NAMES)
    Arrivals(model, Random(seed + 1), list(NAMES), rate_per_s, 0.0, spread=NODES)
    model.clock.run_until(WARM_UP_S)
    FAULTS[fault](next(iter(model.owners.values())).upstream)
    model.clock.run_until(WARM_UP_S + seconds)
    ordered = sorted(latencies)
    return PolicyRun(
        p50_ms=round(ordered[len(ordered) // 2] * 1000, 2),
        p99_ms=round(ordered[int(len(ordered) * 0.99)] * 1000, 2),
        failed_permille=round(failed * 1000 / (failed + len(ordered)), 2),
    )
