import pytest

from corianderwall.model.change import (
    AddVersion,
    AdvanceMove,
    DeleteService,
    EndMove,
    PutRoute,
    PutService,
    RemoveVersion,
    StartMove,
    apply_change,
    find_move,
)
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import (
    EMPTY_SNAPSHOT,
    MovePolicy,
    MoveState,
    Route,
    Service,
    Snapshot,
    VersionShare,
)


@pytest.fixture
def snapshot() -> Snapshot:
    service = Service(
        name="placements",
        versions=("v1",),
        split=(VersionShare(version="v1", permille=1000),),
    )
    current = apply_change(EMPTY_SNAPSHOT, PutService(service))
    current = apply_change(current, PutRoute(Route(name="accept", service="placements")))
    return apply_change(current, AddVersion("placements", "v2"))


@pytest.fixture
def snapshot_with_move(snapshot: Snapshot) -> Snapshot:
    return apply_change(snapshot, StartMove("m1", "placements", "v2", 1000, 9000, MovePolicy()))


def expect_code(snapshot: Snapshot, change: object, code: ErrorCode) -> None:
    with pytest.raises(CorianderwallError) as caught:
        apply_change(snapshot, change)
    assert caught.value.code is code


def test_each_change_increments_the_version(snapshot: Snapshot) -> None:
    assert snapshot.version == 3


def test_a_route_cannot_point_at_a_missing_service(snapshot: Snapshot) -> None:
    route = Route(name="lost", service="hifadhi")
    expect_code(snapshot, PutRoute(route), ErrorCode.DANGLING_REFERENCE)


def test_a_service_in_use_cannot_be_deleted(snapshot: Snapshot) -> None:
    expect_code(snapshot, DeleteService("placements"), ErrorCode.STILL_REFERENCED)


def test_a_version_that_receives_calls_cannot_be_removed(snapshot: Snapshot) -> None:
    expect_code(snapshot, RemoveVersion("placements", "v1"), ErrorCode.STILL_REFERENCED)


def test_a_service_with_a_running_move_cannot_be_replaced(snapshot_with_move: Snapshot) -> None:
    service = snapshot_with_move.services[0]
    expect_code(snapshot_with_move, PutService(service), ErrorCode.MOVE_IN_PROGRESS)


def test_a_step_cannot_be_applied_twice(snapshot_with_move: Snapshot) -> None:
    stepped = apply_change(snapshot_with_move, AdvanceMove("m1", 1, 50, fencing=4))
    assert stepped.services[0].split[1] == VersionShare(version="v2", permille=50)
    expect_code(stepped, AdvanceMove("m1", 1, 50, fencing=4), ErrorCode.STALE_VERSION)


def test_a_step_under_an_older_lease_is_refused(snapshot_with_move: Snapshot) -> None:
    stepped = apply_change(snapshot_with_move, AdvanceMove("m1", 1, 50, fencing=4))
    expect_code(stepped, AdvanceMove("m1", 2, 90, fencing=3), ErrorCode.LEASE_LOST)


@pytest.mark.parametrize(
    ("state", "version"), [(MoveState.COMPLETED, "v2"), (MoveState.TAKEN_BACK, "v1")]
)
def test_a_move_ends_once_with_all_calls_on_one_version(
    snapshot_with_move: Snapshot, state: MoveState, version: str
) -> None:
    end = EndMove("m1", state, "reason", "evidence", 5000, fencing=1)
    ended = apply_change(snapshot_with_move, end)
    assert ended.services[0].split == (VersionShare(version=version, permille=1000),)
    assert find_move(ended, "m1").state is state
    expect_code(ended, end, ErrorCode.STALE_VERSION)


def test_a_step_records_its_time_and_never_lowers_the_share(snapshot_with_move: Snapshot) -> None:
    stepped = apply_change(snapshot_with_move, AdvanceMove("m1", 1, 50, fencing=4, unix_ms=1500))
    assert find_move(stepped, "m1").stepped_unix_ms == 1500
    expect_code(stepped, AdvanceMove("m1", 2, 49, fencing=4), ErrorCode.INVALID_ARGUMENT)


def test_a_move_cannot_end_as_running(snapshot_with_move: Snapshot) -> None:
    end = EndMove("m1", MoveState.RUNNING, "reason", "evidence", 5000, fencing=1)
    expect_code(snapshot_with_move, end, ErrorCode.INVALID_ARGUMENT)


@pytest.mark.parametrize(
    "policy",
    [
        MovePolicy(tolerated_error_permille=1001),
        MovePolicy(tolerated_error_permille=-1),
        MovePolicy(tolerated_slowdown_percent=-1),
    ],
)
def test_a_policy_with_tolerances_out_of_range_is_refused(
    snapshot: Snapshot, policy: MovePolicy
) -> None:
    start = StartMove("m1", "placements", "v2", 1000, 9000, policy)
    expect_code(snapshot, start, ErrorCode.INVALID_ARGUMENT)
