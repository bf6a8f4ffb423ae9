from random import Random
from typing import Any

import pytest

from corianderwall.mesh.directory import EndpointView
from corianderwall.mesh.messages import (
    Evidence,
    Load,
    MoveOrder,
    MoveView,
    RouteEvidence,
)
from corianderwall.mesh.movecontroller import SHIFT_EVALUATION_INTERVAL_S
from corianderwall.mesh.moves import (
    EARLY_COMPLETION_FRACTION,
    MoveTracker,
    find_regression,
    may_complete,
)
from corianderwall.model.resource import MoveState


def make_order(
    state: MoveState | None = MoveState.RUNNING,
    *,
    revision: int = 5,
    created: int = 1,
    version: str = "v2",
    era: int = 0,
) -> MoveOrder:
    return MoveOrder(
        service="s",
        version=version,
        duration_s=16.0,
        revision=revision,
        created=created,
        state=state,
        era=era,
    )


def make_tracker(state: MoveState | None = MoveState.RUNNING, **flags: bool) -> MoveTracker:
    tracker = MoveTracker(0.1, Random(1))
    tracker.merge_view(MoveView(order=make_order(state), age_s=0.0, **flags), 0.0)
    return tracker


def make_views(make_endpoint: Any) -> list[EndpointView]:
    return [
        EndpointView(make_endpoint(f"{version}-{n}", version=version), Load())
        for version in ("v1", "v2")
        for n in range(2)
    ]


def list_versions(tracker: MoveTracker, make_endpoint: Any, calls: int = 1000) -> list[str]:
    views = make_views(make_endpoint)
    versions = []
    for _ in range(calls):
        try_new = tracker.may_try_new_version("s", views)
        version = tracker.filter_endpoints("s", views, 0.0, try_new=try_new)[0].record.version
        tracker.count_arrival("s", version)
        versions.append(version)
    return versions


def make_evidence(version: str, calls: int, failures: int, mean_ms: float = 100.0) -> Evidence:
    counts = RouteEvidence(route="r", calls=calls, failures=failures, sum_ms=mean_ms * calls)
    return Evidence(service="s", version=version, node=version, created=1, routes=(counts,))


def make_tracker_with_good_calls() -> MoveTracker:
    tracker = make_tracker()
    tracker.store_evidence(make_evidence("v2", 400, 4))
    tracker.store_evidence(make_evidence("v1", 6000, 60))
    tracker.moves["s"].add_checkpoint(10.0)
    return tracker


def judge(*evidence: Evidence) -> str | None:
    tracker = make_tracker()
    for item in evidence:
        tracker.store_evidence(item)
    finding = find_regression(tracker.moves["s"])
    return finding.cause if finding is not None else None


def test_a_new_version_stays_below_the_allowed_share(make_endpoint: Any) -> None:
    versions = list_versions(make_tracker(), make_endpoint)
    assert 0 < versions.count("v2") < 100


def test_calls_in_progress_count_towards_the_share_of_a_new_version(make_endpoint: Any) -> None:
    tracker = make_tracker()
    views = make_views(make_endpoint)
    for _ in range(40):
        tracker.count_arrival("s", "v1")
    assert tracker.may_try_new_version("s", views)
    views[-1].pending = 3
    assert not tracker.may_try_new_version("s", views)


def test_a_bad_version_gets_no_calls(make_endpoint: Any) -> None:
    assert set(list_versions(make_tracker(cut=True), make_endpoint)) == {"v1"}
    taken_back = make_tracker(MoveState.TAKEN_BACK)
    assert set(list_versions(taken_back, make_endpoint)) == {"v1"}
    only_new = [view for view in make_views(make_endpoint) if view.record.version == "v2"]
    assert taken_back.filter_endpoints("s", only_new, 0.0, try_new=False) == []


def test_the_old_version_gets_no_calls_before_completion(make_endpoint: Any) -> None:
    assert set(list_versions(make_tracker(shifting=True), make_endpoint)) == {"v2"}
    assert set(list_versions(make_tracker(MoveState.COMPLETED), make_endpoint)) == {"v2"}


def test_a_final_state_is_not_undone_by_an_older_revision() -> None:
    tracker = make_tracker(MoveState.COMPLETED)
    assert not tracker.merge_view(MoveView(order=make_order(revision=4), age_s=0.0), 1.0)
    assert tracker.moves["s"].order.state is MoveState.COMPLETED


def test_a_second_order_resets_the_move() -> None:
    tracker = make_tracker(MoveState.TAKEN_BACK, cut=True)
    tracker.merge_view(MoveView(order=make_order(None, revision=20, created=19), age_s=0.0), 5.0)
    assert not tracker.moves["s"].cut
    assert tracker.moves["s"].seen_at == 5.0


def test_the_next_order_in_the_same_object_resets_the_move() -> None:
    tracker = make_tracker()
    tracker.count_call("s", "v2", "r", failed=False, took_s=0.1)
    move = tracker.moves["s"]
    move.shifting, move.shift_until, move.cut_write_at = True, 3.0, 4.0
    following = make_order(None, revision=9, version="v3")
    assert tracker.merge_view(MoveView(order=following, age_s=0.0), 20.0)
    move = tracker.moves["s"]
    assert (move.shifting, move.shift_until, move.cut_write_at) == (False, None, None)
    # The counts so far belong to the former order.
    assert tracker.make_evidence("s", "v2", "n1") is None
    tracker.count_call("s", "v2", "r", failed=False, took_s=0.1)
    evidence = tracker.make_evidence("s", "v2", "n1")
    assert evidence is not None
    assert evidence.routes[0].calls == 1


# Guards against calls to a bad version that the next order makes an old one.
def test_a_version_that_was_rolled_back_gets_no_calls_during_the_next_order(
    make_endpoint: Any,
) -> None:
    views = [
        EndpointView(make_endpoint(version, version=version), Load())
        for version in ("v1", "v2", "v3")
    ]
    tracker = make_tracker(MoveState.TAKEN_BACK, cut=True)
    following = make_order(revision=20, created=19, version="v3")
    tracker.merge_view(MoveView(order=following, age_s=0.0), 5.0)
    allowed = tracker.filter_endpoints("s", views, 5.0, try_new=False)
    assert [view.record.version for view in allowed] == ["v1"]
    # A node that starts now gets this from its peers.
    restarted = MoveTracker(0.1, Random(1))
    for view in tracker.list_views(6.0):
        restarted.merge_view(view, 6.0)
    assert restarted.filter_endpoints("s", views, 6.0, try_new=False) == allowed
    # An order for that version lets it be tested again.
    again = make_order(None, revision=30, created=29, version="v2")
    tracker.merge_view(MoveView(order=again, age_s=0.0), 7.0)
    allowed = tracker.filter_endpoints("s", views, 7.0, try_new=True)
    assert [view.record.version for view in allowed] == ["v2"]


def test_a_version_is_bad_only_if_it_fails_more_often_than_the_old_one() -> None:
    assert judge(make_evidence("v2", 10, 5), make_evidence("v1", 200, 0)) == "failures"
    assert judge(make_evidence("v2", 10, 5), make_evidence("v1", 200, 90)) is None
    assert judge(make_evidence("v2", 50, 0), make_evidence("v1", 200, 0)) is None


# Guards against a bad version that gets all calls for too long: many good calls must not hide it.
def test_a_version_that_turns_bad_after_many_good_calls_is_found_by_its_recent_calls() -> None:
    tracker = make_tracker_with_good_calls()
    move = tracker.moves["s"]
    assert find_regression(move) is None
    tracker.store_evidence(make_evidence("v2", 430, 19))
    finding = find_regression(move)
    assert finding is not None
    assert (finding.cause, finding.calls, finding.failures) == ("failures", 30, 15)


def test_failures_that_both_versions_have_recently_are_not_held_against_the_new_one() -> None:
    tracker = make_tracker_with_good_calls()
    move = tracker.moves["s"]
    tracker.store_evidence(make_evidence("v2", 430, 19))
    tracker.store_evidence(make_evidence("v1", 6300, 210))
    assert find_regression(move) is None


def test_recent_evidence_covers_the_last_seconds_only() -> None:
    tracker = make_tracker()
    move = tracker.moves["s"]
    for second in range(10):
        tracker.store_evidence(make_evidence("v2", 10 * second, 0))
        move.add_checkpoint(float(second))
    assert move.list_recent_evidence()[0].routes[0].calls == 20


def test_a_version_that_is_several_times_slower_is_bad() -> None:
    assert judge(make_evidence("v2", 10, 0, 400.0), make_evidence("v1", 90, 0)) == "slow"
    # A cold start takes twice as long and must not count as slow.
    assert judge(make_evidence("v2", 10, 0, 200.0), make_evidence("v1", 90, 0)) is None


# Guards against a version that turns bad with the shift and exceeds its share until it is cut.
def test_the_test_of_a_version_leaves_room_for_the_calls_of_a_shift(make_endpoint: Any) -> None:
    order_s, calls_per_s = 10.0, 500
    tracker = make_tracker()
    tested_s = order_s * EARLY_COMPLETION_FRACTION
    versions = list_versions(tracker, make_endpoint, round(tested_s * calls_per_s))
    room = 0.1 * len(versions) - versions.count("v2")
    # Evidence is sent and judged at this interval, and a failing call takes as long as a good one.
    cut_after_s = 2 * SHIFT_EVALUATION_INTERVAL_S + 0.2
    assert room >= cut_after_s * calls_per_s


def test_a_version_is_completed_early_only_with_enough_calls() -> None:
    tracker = make_tracker()
    move = tracker.moves["s"]
    assert not may_complete(move, 12.0)
    tracker.store_evidence(make_evidence("v2", 30, 0))
    assert not may_complete(move, 5.0)
    assert may_complete(move, 12.0)


def test_a_version_without_calls_is_completed_before_its_time_runs_out() -> None:
    move = make_tracker().moves["s"]
    assert may_complete(move, 13.0)


def test_an_owner_counts_calls_only_while_its_service_has_a_running_move() -> None:
    tracker = make_tracker()
    tracker.count_call("s", "v2", "r", failed=True, took_s=0.1)
    tracker.count_call("other", "v2", "r", failed=True, took_s=0.1)
    evidence = tracker.make_evidence("s", "v2", "n")
    assert evidence is not None
    assert evidence.routes == (RouteEvidence(route="r", calls=1, failures=1, sum_ms=100.0),)
    assert make_tracker(MoveState.COMPLETED).make_evidence("s", "v2", "n") is None


def test_a_new_version_without_an_order_gets_no_calls_at_first(
    make_endpoint: Any,
) -> None:
    views = make_views(make_endpoint)
    for view in views:
        view.joined_at = 100.0 if view.record.version == "v2" else 0.0
    tracker = MoveTracker(0.1, Random(1))

    def list_allowed(now: float) -> set[str]:
        allowed = tracker.filter_endpoints("s", views, now, try_new=False)
        return {view.record.version for view in allowed}

    assert list_allowed(101.0) == {"v1"}
    assert list_allowed(103.0) == {"v1", "v2"}
    # A node that has just started has learned of all versions at the same time.
    for view in views:
        view.joined_at = 100.0
    assert list_allowed(101.0) == {"v1", "v2"}


# Guards against a bad version that is tested again because the store has lost its order.
def test_an_order_that_the_store_lost_and_got_again_keeps_its_verdict(make_endpoint: Any) -> None:
    tracker = make_tracker(cut=True)
    again = make_order(None, revision=4, created=4, era=1)
    assert tracker.merge_view(MoveView(order=again, age_s=0.0), 9.0)
    move = tracker.moves["s"]
    assert (move.order, move.cut, move.seen_at) == (again, True, 0.0)
    assert set(list_versions(tracker, make_endpoint)) == {"v1"}


# Guards against a finished move whose state stays lost after the store came back from a copy.
@pytest.mark.parametrize("state", [MoveState.COMPLETED, MoveState.TAKEN_BACK])
def test_a_final_state_that_the_store_has_lost_is_to_be_written_again(
    state: MoveState, make_endpoint: Any
) -> None:
    tracker = make_tracker(state)
    served = set(list_versions(tracker, make_endpoint))
    restored = make_order(MoveState.RUNNING, revision=3, era=1)
    tracker.merge_view(MoveView(order=restored, age_s=0.0), 9.0)
    move = tracker.moves["s"]
    assert move.is_state_lost
    assert not move.is_running
    assert set(list_versions(tracker, make_endpoint)) == served
    written = make_order(state, revision=4, era=1)
    tracker.merge_view(MoveView(order=written, age_s=0.0), 10.0)
    assert not move.is_state_lost


def test_a_final_state_that_the_store_has_lost_reaches_a_restarted_node() -> None:
    tracker = make_tracker(MoveState.COMPLETED)
    restarted = MoveTracker(0.1, Random(1))
    restored = make_order(MoveState.RUNNING, revision=3, era=1)
    restarted.merge_view(MoveView(order=restored, age_s=0.0), 9.0)
    for view in tracker.list_views(9.0):
        restarted.merge_view(view, 9.0)
    assert restarted.moves["s"].is_state_lost


# Guards against calls to the former version because an old copy of the store names its order.
def test_the_former_order_in_an_old_copy_does_not_replace_the_current_one() -> None:
    tracker = make_tracker(MoveState.COMPLETED)
    following = make_order(revision=20, created=19, version="v3")
    tracker.merge_view(MoveView(order=following, age_s=0.0), 5.0)
    restored = make_order(MoveState.COMPLETED, era=1)
    assert not tracker.merge_view(MoveView(order=restored, age_s=0.0), 9.0)
    assert tracker.moves["s"].order == following
    # The operator writes the lost order again, or another one.
    again = make_order(None, revision=8, created=8, version="v3", era=1)
    assert tracker.merge_view(MoveView(order=again, age_s=0.0), 10.0)
    assert tracker.moves["s"].seen_at == 5.0
    other = make_order(None, revision=9, created=9, version="v2", era=1)
    assert tracker.merge_view(MoveView(order=other, age_s=0.0), 11.0)
    assert tracker.moves["s"].order == other


def test_an_order_of_an_earlier_era_replaces_nothing() -> None:
    tracker = MoveTracker(0.1, Random(1))
    current = make_order(revision=3, created=3, version="v3", era=2)
    tracker.merge_view(MoveView(order=current, age_s=0.0), 0.0)
    late = make_order(revision=50, created=40, version="v2", era=1)
    assert not tracker.merge_view(MoveView(order=late, age_s=0.0), 1.0)
