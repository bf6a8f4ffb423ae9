"""Load pattern: all endpoints start cold at once with the callers' backlog in front of them."""

import pytest

from corianderwall.bench.cold_start import run_nested, run_once


@pytest.mark.parametrize("policy", ["pace, stated rate", "pace, no stated rate"])
def test_a_cold_service_does_not_collapse(policy: str) -> None:
    before = run_once(1, 12, "no pacing", seconds=8.0)
    paced = run_once(1, 12, policy, seconds=8.0)
    knowing = run_once(1, 12, "knows the limit", seconds=8.0)
    assert before["crashes"] > 12 and before["served"] < 0.3 * before["offered"]
    assert paced["crashes"] == 0
    assert paced["full_share_s"] <= 1.15 * knowing["full_share_s"]
    assert paced["served"] > 0.85 * knowing["served"]


def test_calls_that_need_a_smaller_cold_service_are_wasted_less() -> None:
    before = run_nested(1, "no pacing", limits_nested=False)
    alone = run_nested(1, "pace, stated rate", limits_nested=False)
    paced = run_nested(1, "pace, stated rate", limits_nested=True)
    assert before["served"] < 0.25 * before["offered"]
    assert paced["crashes"] == 0 and paced["served"] > 0.7 * paced["offered"]
    assert paced["wasted"] < 0.85 * alone["wasted"]
    assert paced["served"] > 0.98 * alone["served"]
