from corianderwall.traffic.limits import AdaptiveLimit, divide_connections


def observe_calls(limit: AdaptiveLimit, latency_s: float, start: float, seconds: float) -> None:
    for step in range(int(seconds * 400)):
        limit.observe(latency_s, limit.value, start + step / 400)


def test_the_limit_grows_to_its_ceiling_while_it_is_reached_and_calls_are_fast() -> None:
    limit = AdaptiveLimit(slots=4, ceiling=9, now=0.0)
    observe_calls(limit, 0.01, 0.0, 10.0)
    assert limit.value == 9


def test_an_unused_limit_does_not_grow() -> None:
    limit = AdaptiveLimit(slots=4, ceiling=9, now=0.0)
    for step in range(4_000):
        limit.observe(0.01, 1, step / 400)
    assert limit.value == 4


def test_the_limit_falls_when_calls_slow_down_and_recovers() -> None:
    limit = AdaptiveLimit(slots=8, ceiling=8, now=0.0)
    observe_calls(limit, 0.01, 0.0, 2.0)
    observe_calls(limit, 0.05, 2.0, 0.6)
    assert limit.value < 4
    observe_calls(limit, 0.01, 3.0, 5.0)
    assert limit.value == 8


def test_refusals_lower_the_limit_once_in_a_window_and_never_below_one() -> None:
    limit = AdaptiveLimit(slots=10, ceiling=10, now=0.0)
    for _ in range(50):
        limit.record_refusal(0.1)
    assert limit.value == 8
    for step in range(500):
        limit.record_refusal(1.0 + step)
    assert limit.value == 1


def test_the_owner_keeps_enough_connections_for_all_slots() -> None:
    for slots, connections in ((6, 110), (12, 130), (20, 10), (1, 1)):
        budget = divide_connections(slots, connections)
        assert budget.own + budget.leased == connections
        assert budget.own >= min(slots, connections)
