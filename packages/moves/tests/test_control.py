from dataclasses import replace

import pytest

from corianderwall.model.change import (
    AddVersion,
    AdvanceMove,
    DeleteService,
    EndMove,
    PutService,
    StartMove,
    apply_change,
    find_move,
)
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import (
    EMPTY_SNAPSHOT,
    MovePolicy,
    MoveState,
    Service,
    VersionShare,
)
from corianderwall.moves.control import (
    DEADLINE_CAUSE,
    Capacity,
    DecisionInputs,
    HeldLease,
    MoveController,
)
from corianderwall.moves.judgement import Judgement, Verdict
from corianderwall.moves.messages import Cut
from corianderwall.moves.plan import build_plan

START = 1_000_000
DEADLINE = START + 200_000
CUT = Cut(
    move_id="m1",
    service="placements",
    version="v2",
    node="n7",
    unix_ms=START,
    cause="failures",
    evidence="9 of 9",
)


@pytest.fixture
def start():
    def start(caution=0.5):
        split = (VersionShare(version="v1", permille=1000),)
        service = Service(name="placements", versions=("v1",), split=split)
        snapshot = apply_change(EMPTY_SNAPSHOT, PutService(service))
        snapshot = apply_change(snapshot, AddVersion("placements", "v2"))
        policy = MovePolicy(caution=caution, min_calls_per_step=60)
        return apply_change(snapshot, StartMove("m1", "placements", "v2", START, DEADLINE, policy))

    return start


@pytest.fixture
def observe():
    """Return the situation at `second` with a judgement of the current step."""

    def observe(snapshot, second, verdict=Verdict.GOOD, **changes):
        move = find_move(snapshot, "m1")
        judgement = Judgement(verdict=verdict, step=move.step, step_calls=500, evidence="e")
        inputs = DecisionInputs(
            move=move,
            judgement=judgement,
            capacity=Capacity(new_slots=48, busy_slots=10),
            lease=HeldLease(fencing=3, expires_at=1e9),
            now=second,
            unix_ms=START + int(second * 1000),
        )
        return replace(inputs, **changes)

    return observe


@pytest.fixture
def reach(start, observe):
    def reach(permille, caution=0.5):
        """Return a snapshot with this share and the second at which it was reached."""
        snapshot, second = start(caution), 0.0
        controller = MoveController("m1")
        while find_move(snapshot, "m1").share_permille < permille:
            change = controller.decide(observe(snapshot, second))
            if change is not None:
                snapshot = apply_change(snapshot, change)
            second += 0.5
        return snapshot, second

    return reach


def test_a_good_version_rises_by_the_plan_soaks_and_completes_before_the_deadline(start, observe):
    snapshot, shares = start(), []
    controller = MoveController("m1")
    for second in range(200):
        change = controller.decide(observe(snapshot, second))
        if change is not None:
            snapshot = apply_change(snapshot, change)
            shares.append(find_move(snapshot, "m1").share_permille)
    move = find_move(snapshot, "m1")
    assert shares == [10, 50, 200, 500, 1000, 1000]
    assert move.state is MoveState.COMPLETED
    soak = build_plan(move.policy, START, DEADLINE).dwells_ms[-1]
    assert move.ended_unix_ms >= move.stepped_unix_ms + soak
    assert move.ended_unix_ms < DEADLINE
    assert move.cause and move.evidence


@pytest.mark.parametrize("permille", [10, 50, 500, 1000])
def test_a_bad_verdict_rolls_the_move_back_at_every_share(reach, observe, permille):
    snapshot, second = reach(permille)
    change = MoveController("m1").decide(observe(snapshot, second, Verdict.BAD))
    assert isinstance(change, EndMove)
    assert change.state is MoveState.TAKEN_BACK


@pytest.mark.parametrize("permille", [10, 1000])
def test_a_known_cut_rolls_the_move_back_whatever_the_evidence(reach, observe, permille):
    snapshot, second = reach(permille)
    change = MoveController("m1").decide(observe(snapshot, second + 60, cut=CUT))
    assert change.state is MoveState.TAKEN_BACK
    assert "n7" in change.evidence


def test_a_cut_overrules_a_completion_that_is_not_committed(reach, observe):
    snapshot, second = reach(1000)
    controller = MoveController("m1")
    change = controller.decide(observe(snapshot, second + 60))
    assert change.state is MoveState.COMPLETED
    change = controller.decide(observe(snapshot, second + 60.5, cut=CUT))
    assert change.state is MoveState.TAKEN_BACK
    change = controller.decide(observe(snapshot, second + 61))
    assert change.state is MoveState.TAKEN_BACK


@pytest.mark.parametrize(
    "changes",
    [
        {"judgement": None},
        {"judgement": Judgement(verdict=Verdict.GOOD, step=0, step_calls=500)},
        {"judgement": Judgement(verdict=Verdict.GOOD, step=1, step_calls=59)},
        {"judgement": Judgement(verdict=Verdict.UNDECIDED, step=1, step_calls=500)},
        {
            "judgement": Judgement(
                verdict=Verdict.GOOD, step=1, step_calls=500, unproven_main_routes=("r",)
            )
        },
        {"capacity": Capacity(new_slots=0, busy_slots=10)},
        {"lease": None},
        {"lease": HeldLease(fencing=3, expires_at=10)},
        {"lease": HeldLease(fencing=2, expires_at=1e9)},
    ],
)
def test_no_step_up_without_evidence_of_the_step_capacity_and_lease(reach, observe, changes):
    snapshot, _ = reach(10)
    assert MoveController("m1").decide(observe(snapshot, 12)) is not None
    assert MoveController("m1").decide(observe(snapshot, 12, **changes)) is None


def test_the_capacity_of_the_new_version_bounds_its_share(reach, observe):
    snapshot, second = reach(200)
    tight = Capacity(new_slots=4, busy_slots=10)
    change = MoveController("m1").decide(observe(snapshot, second + 30, capacity=tight))
    assert change.share_permille == 320
    snapshot = apply_change(snapshot, change)
    assert MoveController("m1").decide(observe(snapshot, second + 60, capacity=tight)) is None


@pytest.mark.parametrize(
    ("permille", "caution", "verdict", "suspicious", "expected"),
    [
        (1000, 0.2, Verdict.UNDECIDED, False, MoveState.COMPLETED),
        (1000, 0.8, Verdict.UNDECIDED, False, MoveState.TAKEN_BACK),
        (1000, 0.2, Verdict.UNDECIDED, True, MoveState.TAKEN_BACK),
        (500, 0.2, Verdict.GOOD, False, MoveState.COMPLETED),
        (500, 0.8, Verdict.GOOD, False, MoveState.TAKEN_BACK),
        (200, 0.2, Verdict.GOOD, False, MoveState.TAKEN_BACK),
    ],
)
def test_a_move_out_of_time_ends_according_to_its_caution(
    reach, observe, permille, caution, verdict, suspicious, expected
):
    snapshot, _ = reach(permille, caution)
    move = find_move(snapshot, "m1")
    stepped = replace(move, stepped_unix_ms=DEADLINE - 21_000)
    judgement = Judgement(verdict=verdict, step=move.step, step_calls=99, is_suspicious=suspicious)
    inputs = observe(snapshot, 180.0, move=stepped, judgement=judgement)
    change = MoveController("m1").decide(inputs)
    assert isinstance(change, EndMove)
    assert change.state is expected
    assert change.ended_unix_ms < DEADLINE
    if expected is MoveState.TAKEN_BACK:
        assert change.cause == DEADLINE_CAUSE


def test_a_lost_response_or_a_restart_repeats_no_step(reach, observe):
    snapshot, second = reach(50)
    controller = MoveController("m1")
    first = controller.decide(observe(snapshot, second + 40))
    committed = apply_change(snapshot, first)
    for again in (controller, MoveController("m1")):
        repeated = again.decide(observe(snapshot, second + 41))
        assert repeated.step == first.step
        with pytest.raises(CorianderwallError) as caught:
            apply_change(committed, repeated)
        assert caught.value.code is ErrorCode.STALE_VERSION


def test_of_two_lease_holders_only_the_one_with_the_newer_token_can_write(reach, observe):
    snapshot, second = reach(50)
    old = MoveController("m1").decide(observe(snapshot, second + 40))
    lease = HeldLease(fencing=4, expires_at=1e9)
    new = MoveController("m1").decide(observe(snapshot, second + 40, lease=lease))
    committed = apply_change(snapshot, new)
    late = replace(find_move(committed, "m1"), share_permille=200)
    assert late.fencing == 4
    for change in (old, AdvanceMove("m1", late.step + 1, 1000, fencing=3)):
        with pytest.raises(CorianderwallError):
            apply_change(committed, change)
    assert MoveController("m1").decide(observe(committed, second + 80)) is None


def test_a_paused_lease_holder_cannot_change_a_move_that_has_ended(reach, observe):
    snapshot, second = reach(1000)
    paused = MoveController("m1")
    stale = paused.decide(observe(snapshot, second + 60))
    ended = apply_change(
        snapshot, EndMove("m1", MoveState.TAKEN_BACK, "cut", "9 of 9", START + 9, fencing=4)
    )
    with pytest.raises(CorianderwallError):
        apply_change(ended, stale)
    assert paused.decide(observe(ended, second + 61)) is None


def test_cancel_against_finish_has_one_winner_and_a_true_response(reach, observe):
    snapshot, second = reach(1000)
    finish = MoveController("m1").decide(observe(snapshot, second + 60))
    cancel = EndMove("m1", MoveState.TAKEN_BACK, "cancelled", "operator", START + 9, fencing=3)
    for first, last in ((finish, cancel), (cancel, finish)):
        ended = apply_change(snapshot, first)
        with pytest.raises(CorianderwallError) as caught:
            apply_change(ended, last)
        assert caught.value.code is ErrorCode.STALE_VERSION
        assert first.state.value in caught.value.sentence


def test_a_second_move_of_the_service_and_its_deletion_are_refused(reach):
    snapshot, _ = reach(50)
    second_move = StartMove("m2", "placements", "v2", START, DEADLINE, MovePolicy())
    for change in (second_move, DeleteService("placements")):
        with pytest.raises(CorianderwallError) as caught:
            apply_change(snapshot, change)
        assert caught.value.code is ErrorCode.MOVE_IN_PROGRESS
