from corianderwall.httpflow.silence import (
    ConnectionSnapshot,
    ProbeComparison,
    find_silent,
    find_stalled,
    find_suspect_idle,
)


def make_comparison(**changes) -> ProbeComparison:
    fields = {"started": 10.0, "deadline": 11.0, "fresh_responded": True, "old_probes_sent": 2}
    return ProbeComparison(**(fields | changes))


def test_a_call_is_suspect_once_it_waits_without_progress() -> None:
    waiting = ConnectionSnapshot(1, 0.0, 4.0, 5.0)
    idle = ConnectionSnapshot(2, 0.0, 4.0, None)
    assert find_stalled([waiting, idle], 5.9, 1.0) == []
    assert find_stalled([waiting, idle], 6.0, 1.0) == [waiting]


def test_idle_connections_without_traffic_are_suspect() -> None:
    old, active = ConnectionSnapshot(1, 0.0, 4.0, None), ConnectionSnapshot(2, 0.0, 6.0, None)
    assert find_suspect_idle([old, active], 5.0) == [old]


def test_silence_needs_a_response_on_the_fresh_and_none_on_the_old() -> None:
    busy = [ConnectionSnapshot(1, 0.0, 4.0, 5.0)]
    assert find_silent(make_comparison(), busy) == busy
    assert find_silent(make_comparison(old_responded=1), busy) == []
    assert find_silent(make_comparison(fresh_responded=False), busy) == []
    assert find_silent(make_comparison(old_probes_sent=0), busy) == []


def test_connections_with_traffic_or_newer_than_the_comparison_are_not_silent() -> None:
    active = ConnectionSnapshot(1, 0.0, 10.5, 5.0)
    newer = ConnectionSnapshot(2, 10.2, 10.2, 10.2)
    assert find_silent(make_comparison(), [active, newer]) == []


def test_a_comparison_ends_with_its_responses_or_its_deadline() -> None:
    assert not make_comparison().is_over(10.5)
    assert make_comparison().is_over(11.0)
    assert make_comparison(old_responded=2).is_over(10.5)
    assert make_comparison(fresh_responded=False, fresh_failed=True).is_over(10.5)
