from random import Random

from corianderwall.mesh.refusals import (
    LONGEST_S,
    SHORTEST_S,
    SPREAD,
    compute_retry_after,
    encode_seconds,
)


def test_the_answer_names_when_room_is_expected_within_bounds() -> None:
    random = Random(1)
    assert 0.4 <= compute_retry_after(0.4, random) <= 0.4 * (1 + SPREAD)
    assert compute_retry_after(0.0, random) >= SHORTEST_S
    assert compute_retry_after(60.0, random) <= LONGEST_S * (1 + SPREAD)


def test_a_herd_that_is_refused_at_once_does_not_return_at_once() -> None:
    """Load pattern: a herd of callers refused in the same instant."""
    random = Random(1)
    returns = sorted(compute_retry_after(0.4, random) for _ in range(100))
    assert returns[-1] - returns[0] > 0.15


def test_fractions_of_a_second_are_written_out() -> None:
    assert encode_seconds(0.25) == b"0.250"
