"""Measures quotas in a model of a fleet, beside one exact bucket for all hosts."""

import argparse
from collections.abc import Mapping
from random import Random

from corianderwall.bench.quota_model import QuotaFleet
from corianderwall.model.resource import Team

HOSTS = (10, 80, 300)
ZONES = 4
TEAMS = 84
CALLS_PER_S = 2000.0
QUOTA_FACTOR = 1.6
"""A quota relative to the usual load of its team."""
HOT_FACTOR = 6.0
"""The load of a hot team relative to its usual load."""
HOT = ("t0", "t5", "t30")
LARGEST_PER_S, SKEW, SMALLEST_PER_S = 300.0, 1.2, 1.0
"""The largest and the smallest quota, and how fast quotas fall with the rank of a team."""
MIN_BURST = 5.0
START_S = 5.0
"""Time before the first call, in which leases are made and the buckets fill."""
WINDOW_S = 5.0


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Run all sizes, with callers of each team at all hosts, at three, and at one that changes."""
    parser = argparse.ArgumentParser(prog="quotas")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--hosts", type=int, nargs="*", default=HOSTS)
    options = parser.parse_args(arguments)
    results: dict[str, object] = {"mode": "virtual", "seed": options.seed}
    for hosts in options.hosts:
        for spread in (hosts, 3, 1):
            for hot in ((), HOT):
                name = f"{hosts} hosts, callers at {spread}, {len(hot)} hot teams"
                results[name] = run_once(options.seed, options.seconds, hosts, spread, hot)
    return results


def make_teams() -> tuple[Team, ...]:
    """Return teams whose quotas differ by a factor of hundreds."""
    weights = [max(SMALLEST_PER_S, LARGEST_PER_S / (rank + 1) ** SKEW) for rank in range(TEAMS)]
    factor = CALLS_PER_S * QUOTA_FACTOR / sum(weights)
    rates = [max(SMALLEST_PER_S, weight * factor) for weight in weights]
    return tuple(
        Team(name=f"t{rank}", rate_per_s=rate, burst=max(MIN_BURST, rate))
        for rank, rate in enumerate(rates)
    )


def run_once(
    seed: int, seconds: float, hosts: int, spread: int, hot: tuple[str, ...]
) -> Mapping[str, float]:
    """Return the refused share, the worst window relative to the bound, and messages per second."""
    teams = make_teams()
    fleet = QuotaFleet(hosts, min(ZONES, hosts), teams, seed)
    random = Random(seed)
    for team in teams:
        _schedule(fleet, random, team, seconds, spread, is_hot=team.name in hot)
    fleet.run(START_S)
    idle = fleet.messages / START_S / hosts
    before, received = fleet.messages, dict(fleet.received)
    fleet.run(START_S + seconds + 1)
    within = [result for name, result in fleet.results.items() if name not in hot]
    allowed = sum(result.allowed for result in within)
    worst = max(
        fleet.results[team.name].find_worst_window(WINDOW_S)
        / ((team.rate_per_s * WINDOW_S + team.burst) * 1.1 + 20)
        for team in teams
        if team.name in fleet.results
    )
    busiest = max(count - received.get(name, 0) for name, count in fleet.received.items())
    figures = {
        "refused": sum(result.allowed_refused for result in within) / allowed,
        "worst_window": worst,
        "sent_per_host_s": (fleet.messages - before) / seconds / hosts,
        "received_by_busiest_s": busiest / seconds,
        "sent_per_idle_host_s": idle,
    }
    if hot:
        passed = sum(len(fleet.results[name].passed_at) for name in hot)
        figures["hot_passed"] = passed / sum(fleet.results[name].allowed for name in hot)
    return {name: round(value, 5 if name == "refused" else 2) for name, value in figures.items()}


def _schedule(
    fleet: QuotaFleet, random: Random, team: Team, seconds: float, spread: int, *, is_hot: bool
) -> None:
    rate = team.rate_per_s / QUOTA_FACTOR * (HOT_FACTOR if is_hot else 1.0)
    hosts = random.sample(range(len(fleet.nodes)), spread)
    at = START_S
    while (at := at + random.expovariate(rate)) < START_S + seconds:
        host = random.choice(hosts)
        if spread == 1:
            # The whole demand moves to another host every second.
            host = (host + int(at)) % len(fleet.nodes)
        fleet.at(at, lambda host=host: fleet.call(host, team.name))  # type: ignore[misc]
