"""Measures goodput below and beyond capacity, under a virtual clock."""

import argparse
from collections.abc import Mapping
from functools import partial
from random import Random

from corianderwall.bench.traffic_load import Arrivals, make_balancer
from corianderwall.bench.traffic_model import OK, Call, Response, TrafficModel
from corianderwall.model.resource import Subscriber

SUBSCRIBERS = 8
ENDPOINTS = 4
SLOTS = 6
NODES = 20
ZONES = 4
SERVICE_S = 0.02
WARM_UP_S = 5.0
LOADS = (0.5, 1.0, 2.0, 3.0)
"""Offered calls relative to the capacity."""


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Run equal subscribers at each load, with the mesh and without any limit."""
    parser = argparse.ArgumentParser(prog="overload")
    parser.add_argument("--seed", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(arguments)
    mesh = {load: run_once(options.seed, options.seconds, load, is_mixed=True) for load in LOADS}
    plain = {load: run_once(options.seed, options.seconds, load, is_mixed=False) for load in LOADS}
    return {
        "mode": "virtual",
        "seed": options.seed,
        "goodput": {f"{load}x": goodput for load, goodput in mesh.items()},
        "part_of_peak_at_3x": round(mesh[3.0] / max(mesh.values()), 3),
        "without_limits": {f"{load}x": goodput for load, goodput in plain.items()},
        "without_limits_part_of_peak_at_3x": round(plain[3.0] / max(plain.values()), 3),
    }


def run_once(seed: int, seconds: float, load: float, *, is_mixed: bool) -> float:
    """Return the calls answered in time, relative to the capacity.

    Without the mesh the upstreams queue without bound, and callers still wait until their
    deadline only.
    """
    random = Random(seed)
    names = [f"s{index}" for index in range(SUBSCRIBERS)]
    model = TrafficModel(
        random=random,
        endpoints=ENDPOINTS,
        slots=SLOTS,
        nodes=NODES,
        zones=ZONES,
        service_s=SERVICE_S,
        subscribers=tuple(Subscriber(name=name) for name in names),
        is_mixed=is_mixed,
    )
    model.add_entries(partial(make_balancer, model))
    for owner in model.owners.values():
        owner.upstream.sheds = is_mixed
    good = 0

    def finish(call: Call, response: Response) -> None:
        nonlocal good
        now = model.clock.now
        good += response.status == OK and now <= call.deadline and now >= WARM_UP_S

    model.finish = finish
    capacity_per_s = ENDPOINTS * SLOTS / SERVICE_S
    rate_per_s = capacity_per_s * load / SUBSCRIBERS
    Arrivals(model, Random(seed + 1), names, rate_per_s, 0.0, spread=NODES)
    model.clock.run_until(WARM_UP_S + seconds)
    return round(good / (capacity_per_s * seconds), 4)
