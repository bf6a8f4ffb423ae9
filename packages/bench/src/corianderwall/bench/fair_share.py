"""Measures what one heavy subscriber does to the others, under a virtual clock."""

import argparse
from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from functools import partial
from random import Random

from corianderwall.bench.traffic_load import Arrivals, make_balancer
from corianderwall.bench.traffic_model import OK, Call, Response, TrafficModel
from corianderwall.model.resource import Subscriber

LIGHT = 9
ENDPOINTS = 4
SLOTS = 6
NODES = 20
ZONES = 4
SERVICE_S = 0.02
LIGHT_USE = 0.5
"""Part of its share that each light subscriber asks for."""
WARM_UP_S = 5.0
HEAVY = "heavy"


@dataclass(frozen=True, slots=True)
class FairShareRun:
    """One run; the figures begin when the heavy subscriber does."""

    light_p99_ms: float
    light_p50_ms: float
    light_calls: int
    light_refused: int
    heavy_share: float
    """The heavy subscriber's part of the capacity."""
    heavy_share_worst_second: float
    """The same over the one second in which it was highest."""
    direct_part: float
    """Attempts that took one hop."""
    control_bytes_per_node_s: float
    """Bytes of the leases' messages, requests, grants and notices, per entry node."""


class _Tally:
    """Collects the ends of calls after the warm-up."""

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.refused = 0
        self.heavy_by_second: Counter[int] = Counter()

    def take(self, call: Call, response: Response, now: float) -> None:
        """Count one finished call."""
        if call.started < WARM_UP_S:
            return
        if call.subscriber == HEAVY:
            self.heavy_by_second[int(now)] += response.status == OK
        elif response.status == OK:
            self.latencies.append(now - call.started)
        else:
            self.refused += 1


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Run light subscribers alone, then with a heavy one at 10 and 100 times its share."""
    parser = argparse.ArgumentParser(prog="fair-share")
    parser.add_argument("--seed", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args(arguments)
    alone = run_once(options.seed, options.seconds, times=0, is_spread=True)
    crowded = {
        f"{times}x_{'spread' if is_spread else 'one_node'}": run_once(
            options.seed, options.seconds, times=times, is_spread=is_spread
        )
        for times in (10, 100)
        for is_spread in (False, True)
    }
    worst = crowded["100x_spread"]
    return {
        "mode": "virtual",
        "seed": options.seed,
        "light_p99_ms_alone": alone.light_p99_ms,
        "light_p99_ms_crowded": worst.light_p99_ms,
        "ratio": round(worst.light_p99_ms / alone.light_p99_ms, 3),
        "light_refused": worst.light_refused,
        "heavy_share": worst.heavy_share,
        "alone": asdict(alone),
        "crowded": {name: asdict(run) for name, run in crowded.items()},
    }


def run_once(seed: int, seconds: float, *, times: int, is_spread: bool) -> FairShareRun:
    """Run the light subscribers and a heavy one at `times` its share."""
    random = Random(seed)
    names = [f"light{index}" for index in range(LIGHT)]
    subscribers = tuple(Subscriber(name=name) for name in sorted([HEAVY, *names]))
    model = TrafficModel(
        random=random,
        endpoints=ENDPOINTS,
        slots=SLOTS,
        nodes=NODES,
        zones=ZONES,
        service_s=SERVICE_S,
        subscribers=subscribers,
    )
    model.add_entries(partial(make_balancer, model))
    tally = _Tally()
    model.finish = lambda call, response: tally.take(call, response, model.clock.now)
    share_per_s = ENDPOINTS * SLOTS / SERVICE_S / len(subscribers)
    Arrivals(model, Random(seed + 1), names, share_per_s * LIGHT_USE, 0.0, spread=NODES)
    if times:
        spread = NODES if is_spread else 1
        Arrivals(model, Random(seed + 2), [HEAVY], share_per_s * times, WARM_UP_S, spread=spread)
    model.clock.run_until(WARM_UP_S)
    model.attempts = model.direct_attempts = model.control_bytes = 0
    model.clock.run_until(WARM_UP_S + seconds)
    return _summarise(tally, model, seconds)


def _summarise(tally: _Tally, model: TrafficModel, seconds: float) -> FairShareRun:
    ordered = sorted(tally.latencies)
    served_heavy = tally.heavy_by_second
    capacity_per_s = ENDPOINTS * SLOTS / SERVICE_S
    return FairShareRun(
        light_p99_ms=round(ordered[int(len(ordered) * 0.99)] * 1000, 2),
        light_p50_ms=round(ordered[len(ordered) // 2] * 1000, 2),
        light_calls=len(ordered),
        light_refused=tally.refused,
        heavy_share=round(served_heavy.total() / capacity_per_s / seconds, 4),
        heavy_share_worst_second=round(max(served_heavy.values(), default=0) / capacity_per_s, 4),
        direct_part=round(model.direct_attempts / model.attempts, 4),
        control_bytes_per_node_s=round(model.control_bytes / seconds / NODES, 1),
    )
