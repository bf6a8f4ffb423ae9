"""Measures moves: good ones in time, bad ones taken back, by kind and for both weightings."""

import json
import random
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass

import click

from corianderwall.bench.moves_agents import AgentSteering
from corianderwall.bench.moves_baseline import FixedSteps
from corianderwall.bench.moves_traffic import BAD_KINDS, Kind, UpstreamModel
from corianderwall.bench.moves_world import (
    Result,
    Scenario,
    create_world,
    run_move,
)
from corianderwall.model.resource import MovePolicy, MoveState

CAUTIONS: Mapping[str, float] = {"trust": 0.2, "association": 0.8}


@dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """The figures of a set of moves; a bad endpoint that was taken out counts as taken back."""

    good_total: int
    good_in_time: int
    bad_total: int
    bad_taken_back: int
    bad_endpoints_ejected: int
    false_taken_back: int
    unstated_at_deadline: int
    bad_call_share_p99: float
    seconds_bad_to_zero_p50: float
    seconds_bad_to_zero_p99: float
    seconds_bad_to_zero_max: float
    control_bytes_per_move: int


@dataclass(frozen=True, slots=True)
class Measured:
    """One move's kind and result."""

    kind: Kind
    result: Result
    deadline_s: float


def create_scenario(caution: float, calls_per_s: float, duration_s: float) -> Scenario:
    """Return the scenario that all kinds share."""
    policy = MovePolicy(
        steps_permille=(10, 50, 200, 500, 1000), min_calls_per_step=60, caution=caution
    )
    return Scenario(calls_per_s=calls_per_s, duration_s=duration_s, policy=policy)


def run_one(kind: Kind, scenario: Scenario, seed: str, *, is_baseline: bool) -> Result:
    """Run one seeded move."""
    rng = random.Random(seed)
    model = UpstreamModel(kind, random.Random(rng.random()), scenario.duration_s)
    world = create_world(scenario, rng)
    steering = FixedSteps() if is_baseline else AgentSteering(world)
    return run_move(world, model, steering, with_oracle=kind in BAD_KINDS)


def summarise(moves: Sequence[Measured]) -> Summary:
    """Return the figures of these moves."""
    good = [move for move in moves if move.kind not in BAD_KINDS]
    bad = [move for move in moves if move.kind in BAD_KINDS]
    handled = [move for move in bad if _is_taken_back(move)]
    ejected = [move for move in handled if move.result.state is not MoveState.TAKEN_BACK]
    completed = [move for move in good if move.result.state is MoveState.COMPLETED]
    delays = [_measure_delay(move.result) for move in bad]
    shares = [move.result.bad_calls / max(1, move.result.calls) for move in bad]
    return Summary(
        good_total=len(good),
        good_in_time=sum(move.result.ended_s <= move.deadline_s for move in completed),
        bad_total=len(bad),
        bad_taken_back=len(handled),
        bad_endpoints_ejected=len(ejected),
        false_taken_back=sum(move.result.state is MoveState.TAKEN_BACK for move in good),
        unstated_at_deadline=sum(not 0 <= move.result.ended_s <= move.deadline_s for move in moves),
        bad_call_share_p99=round(find_percentile(shares, 0.99), 5),
        seconds_bad_to_zero_p50=round(find_percentile(delays, 0.5), 2),
        seconds_bad_to_zero_p99=round(find_percentile(delays, 0.99), 2),
        seconds_bad_to_zero_max=round(max(delays, default=-1.0), 2),
        control_bytes_per_move=sum(move.result.control_bytes for move in moves)
        // max(1, len(moves)),
    )


def find_percentile(values: Sequence[float], part: float) -> float:
    """Return the value that `part` of the values do not exceed, -1 without values."""
    if not values:
        return -1.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _measure_delay(result: Result) -> float:
    """Return the seconds from detectable to zero; none if the nodes stopped it before."""
    if result.detectable_s < 0:
        return 0.0
    return max(0.0, result.last_bad_s - result.detectable_s)


def _is_taken_back(move: Measured) -> bool:
    if move.result.state is MoveState.TAKEN_BACK:
        return True
    ended_bad = move.result.last_bad_s >= move.result.ended_s - 1
    return move.kind is Kind.BAD_ENDPOINTS and not ended_bad


@click.command()
@click.option("--seed", default=6, help="Seed of all moves.")
@click.option("--moves", default=1, help="Moves of each kind and weighting.")
@click.option("--kind", "kinds", multiple=True, help="Kinds to run; all if none is given.")
@click.option("--weighting", "weightings", multiple=True, help="trust, association; both if none.")
@click.option("--calls-per-s", default=200.0, help="Mean calls per second of the service.")
@click.option("--duration-s", default=240.0, help="Time from start to deadline.")
@click.option("--baseline/--no-baseline", default=True, help="Whether to run the baseline too.")
@click.option("--verbose", is_flag=True, help="Print each move.")
def run(
    seed: int,
    moves: int,
    kinds: tuple[str, ...],
    weightings: tuple[str, ...],
    calls_per_s: float,
    duration_s: float,
    baseline: bool,
    verbose: bool,
) -> Mapping[str, object]:
    """Run seeded moves of each kind under both weightings and the baseline."""
    chosen = [Kind(kind) for kind in kinds] or list(Kind)
    report: dict[str, object] = {"seed": seed, "moves": moves}
    for name in weightings or tuple(CAUTIONS):
        scenario = create_scenario(CAUTIONS[name], calls_per_s, duration_s)
        steerings = {name: False, f"{name}_baseline": True} if baseline else {name: False}
        for label, is_baseline in steerings.items():
            measured = [
                Measured(
                    kind, _run_shown(kind, scenario, index, seed, is_baseline, verbose), duration_s
                )
                for kind in chosen
                for index in range(moves)
            ]
            report[label] = _report(measured, chosen)
    return report


def _run_shown(
    kind: Kind, scenario: Scenario, index: int, seed: int, is_baseline: bool, verbose: bool
) -> Result:
    result = run_one(kind, scenario, f"{seed}/{kind}/{index}", is_baseline=is_baseline)
    if verbose:
        print(kind, index, "baseline" if is_baseline else scenario.policy.caution, result)
    return result


def _report(measured: Sequence[Measured], kinds: Sequence[Kind]) -> Mapping[str, object]:
    by_kind = {
        kind.value: asdict(summarise([move for move in measured if move.kind is kind]))
        for kind in kinds
    }
    return {"total": asdict(summarise(measured)), "by_kind": by_kind}


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Run the measurement with these command-line arguments."""
    report: Mapping[str, object] = run.main(arguments, standalone_mode=False)
    return report


if __name__ == "__main__":
    import sys

    print(json.dumps(measure(sys.argv[1:])))
