import pytest

from corianderwall.bench.fair_share import run_once

SECONDS = 4.0


@pytest.mark.parametrize("is_spread", [True, False])
def test_light_subscribers_are_never_refused_for_a_heavy_one(is_spread: bool) -> None:
    run = run_once(3, SECONDS, times=50, is_spread=is_spread)
    assert run.light_refused == 0
    assert run.light_calls > 1_000
    assert run.heavy_share > 0.1
