import pytest

from corianderwall.mesh.ratelimit import BURST_CALLS, MIN_RATE_PER_S, RateLimit, parse_rate

WINDOW_S = 4.0


def count_starts(limit: RateLimit, seconds: float, step_s: float = 0.01) -> list[float]:
    """Return the times at which calls start if one is always waiting."""
    starts = []
    for step in range(int(seconds / step_s)):
        now = 100.0 + step * step_s
        if limit.permits(now):
            limit.take(now)
            starts.append(now)
    return starts


@pytest.mark.parametrize("rate_per_s", [0.5, 1.9, 3.7, 40.0])
def test_no_window_has_more_starts_than_the_rate_allows(rate_per_s: float) -> None:
    limit = RateLimit()
    limit.set_rate(rate_per_s, 100.0)
    starts = count_starts(limit, 20.0)
    most = max(sum(1 for each in starts if 0 <= each - start < WINDOW_S) for start in starts)
    assert most <= rate_per_s * WINDOW_S + BURST_CALLS
    assert len(starts) >= 0.95 * rate_per_s * 20.0


def test_naming_a_rate_again_gives_no_calls_away() -> None:
    limit = RateLimit()
    starts = 0
    for step in range(400):
        now = 100.0 + step * 0.01
        limit.set_rate(2.0 + step % 2, now)
        if limit.permits(now):
            limit.take(now)
            starts += 1
    assert starts <= 3.0 * WINDOW_S + BURST_CALLS


def test_there_is_no_limit_before_one_is_named_and_after_it_is_lifted() -> None:
    limit = RateLimit()
    assert len(count_starts(limit, 1.0)) == 100
    limit.set_rate(1.0, 101.0)
    limit.set_rate(None, 101.0)
    assert len(count_starts(limit, 1.0)) == 100


def test_a_limit_of_nothing_still_lets_its_end_be_noticed() -> None:
    limit = RateLimit()
    limit.set_rate(0.0, 100.0)
    assert limit.rate_per_s == MIN_RATE_PER_S


def test_the_wait_counts_the_calls_ahead() -> None:
    limit = RateLimit()
    limit.set_rate(2.0, 100.0)
    limit.take(100.0)
    assert limit.estimate_wait(100.0, ahead=0) == pytest.approx(0.5)
    assert limit.estimate_wait(100.0, ahead=3) == pytest.approx(2.0)


@pytest.mark.parametrize("raw", [None, b"", b"many", b"-1", b"nan", b"inf"])
def test_a_header_without_a_valid_rate_names_no_limit(raw: bytes | None) -> None:
    assert parse_rate(raw) is None


def test_a_rate_is_a_decimal_number() -> None:
    assert parse_rate(b"3.7") == 3.7
