from corianderwall.bench.overload import run_once

SECONDS = 3.0


def test_goodput_does_not_collapse_at_three_times_the_capacity() -> None:
    knee = run_once(3, SECONDS, 1.0, is_mixed=True)
    beyond = run_once(3, SECONDS, 3.0, is_mixed=True)
    assert knee > 0.5
    assert beyond >= 0.9 * knee
