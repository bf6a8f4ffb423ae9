import random
from dataclasses import replace

import pytest

from corianderwall.model.resource import MovePolicy
from corianderwall.moves.evaluation import WindowBuilder
from corianderwall.moves.evidence import MoveEvidence
from corianderwall.moves.judgement import Judge, Verdict
from corianderwall.moves.settings import choose_settings

NEW = {f"new-{index}": f"z{index}" for index in range(4)}
ZONES = NEW | {f"old-{index}": f"z{index}" for index in range(4)}
WINDOWS = 200


@pytest.fixture
def run(move, create_outcome):
    def run(behave, seed=3, share=0.3, windows=WINDOWS, calls=50):
        """Judge calls; `behave(version, zone, route, rng, window)` gives status and slowdown."""
        rng = random.Random(seed)
        evidence = MoveEvidence(move, ZONES)
        builder = WindowBuilder(evidence)
        judge = Judge(choose_settings(MovePolicy(), WINDOWS, 1), NEW)
        for window in range(windows):
            for _ in range(calls):
                version, prefix = ("v2", "new") if rng.random() < share else ("v1", "old")
                zone = rng.randrange(4)
                route = rng.choices(["browse", "audit"], [0.97, 0.03])[0]
                status, factor = behave(version, zone, route, rng, window)
                evidence.record(
                    create_outcome(
                        version=version,
                        endpoint=f"{prefix}-{zone}",
                        route=route,
                        subscriber=f"s{rng.randrange(50)}",
                        status=status,
                        latency_s=0.03 * rng.lognormvariate(0, 0.5) * factor,
                    )
                )
            judge.add_window(builder.close_window())
            judgement = judge.judge()
            if judgement.verdict in (Verdict.BAD, Verdict.BAD_ENDPOINTS):
                return replace(judgement, step=window)
        return judgement

    return run


def fail(rng, rate):
    return 500 if rng.random() < rate else 200


BAD = {
    "fails": lambda v, z, r, rng, w: (fail(rng, 0.3 if v == "v2" else 0.003), 1),
    "is slow": lambda v, z, r, rng, w: (200, 2.2 if v == "v2" else 1),
    "hangs at times": lambda v, z, r, rng, w: (
        200,
        20 if v == "v2" and rng.random() < 0.2 else 1,
    ),
    "fails late": lambda v, z, r, rng, w: (fail(rng, 0.4 if v == "v2" and w > 120 else 0.003), 1),
    "fails on a rare route": lambda v, z, r, rng, w: (
        fail(rng, 0.8 if v == "v2" and r == "audit" else 0.003),
        1,
    ),
    "fails more than a failing old version": lambda v, z, r, rng, w: (
        fail(rng, 0.5 if v == "v2" else 0.1),
        1,
    ),
}
NOT_BAD = {
    "is like the old one": lambda v, z, r, rng, w: (fail(rng, 0.003), 1),
    "old version noisy": lambda v, z, r, rng, w: (
        fail(rng, 0.1 if v == "v1" and w % 20 < 8 else 0.003),
        1 + (v == "v1") * rng.random(),
    ),
    "both fail": lambda v, z, r, rng, w: (fail(rng, 0.15), 1),
    "both begin to fail": lambda v, z, r, rng, w: (fail(rng, 0.15 if w > 100 else 0.003), 1),
    "zone overloaded": lambda v, z, r, rng, w: (
        fail(rng, 0.1 if z == 1 and w > 50 else 0.003),
        3 if z == 1 and w > 50 else 1,
    ),
    "one stall of its host": lambda v, z, r, rng, w: (200, 40 if v == "v2" and w == 120 else 1),
    "a little slower": lambda v, z, r, rng, w: (200, 1.15 if v == "v2" else 1),
}


@pytest.mark.parametrize("behaviour", BAD.values(), ids=BAD.keys())
def test_a_bad_version_is_found(run, behaviour):
    assert run(behaviour).verdict is Verdict.BAD


@pytest.mark.parametrize("behaviour", NOT_BAD.values(), ids=NOT_BAD.keys())
@pytest.mark.parametrize("seed", range(4))
def test_a_version_that_is_not_bad_is_not_blamed(run, behaviour, seed):
    judgement = run(behaviour, seed=seed)
    assert judgement.verdict is Verdict.GOOD, judgement


def test_a_few_bad_endpoints_are_named_and_not_the_version(run):
    judgement = run(lambda v, z, r, rng, w: (fail(rng, 0.8 if v == "v2" and z == 2 else 0), 1))
    assert judgement.verdict is Verdict.BAD_ENDPOINTS
    assert judgement.bad_endpoints == ("new-2",)


def test_most_endpoints_bad_is_a_bad_version(run):
    judgement = run(lambda v, z, r, rng, w: (fail(rng, 0.8 if v == "v2" and z < 3 else 0), 1))
    assert judgement.verdict is Verdict.BAD


def test_few_calls_prove_nothing_either_way(run):
    failing = run(
        lambda v, z, r, rng, w: (fail(rng, 1.0 if v == "v2" else 0), 1), windows=1, calls=4
    )
    assert failing.verdict is Verdict.UNDECIDED
    good = run(lambda v, z, r, rng, w: (200, 1), windows=1, calls=20)
    assert good.verdict is Verdict.UNDECIDED


def test_a_rare_route_stays_unproven_while_the_version_is_good(run):
    judgement = run(lambda v, z, r, rng, w: (200, 1), windows=20)
    assert judgement.verdict is Verdict.GOOD
    assert judgement.unproven_routes == ("audit",)
    assert judgement.unproven_main_routes == ()


@pytest.mark.parametrize("seed", range(6))
def test_a_zone_that_fails_for_both_is_not_blamed_though_the_old_version_has_few_calls(run, seed):
    def behave(version, zone, route, rng, window):
        return fail(rng, 0.4 if zone == 1 and window > 60 else 0.003), 1

    judgement = run(behave, seed=seed, share=0.9)
    assert judgement.verdict is not Verdict.BAD, judgement
