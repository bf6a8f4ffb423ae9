"""Decides the next change of a move from its state, the evidence, the lease and the clock."""

from dataclasses import dataclass, field

from corianderwall.model.change import AdvanceMove, EndMove
from corianderwall.model.resource import PERMILLE, Move, MoveState
from corianderwall.moves.judgement import Judgement, Verdict
from corianderwall.moves.lifecycle import EndReason, LifeCycle, observe_move, start_lifecycle
from corianderwall.moves.messages import Cut
from corianderwall.moves.plan import Plan, build_plan

CAPACITY_HEADROOM = 0.8
"""Fraction of the new version's slots that the move may use."""

BALANCED_CAUTION = 0.5
"""Caution below which a move that lacks some proof proceeds; otherwise it is rolled back."""

LARGE_SHARE_PERMILLE = 500
"""Minimum proven share at which a move that runs out of time may still be completed."""

DEADLINE_CAUSE = "not proven by the deadline"


@dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of the new version's ready endpoints, and slots in use by the service's calls."""

    new_slots: int
    busy_slots: float

    def compute_max_share(self) -> int:
        """Return the largest share in per mille that the new version can serve."""
        if self.busy_slots <= 0:
            return PERMILLE if self.new_slots else 0
        ratio = CAPACITY_HEADROOM * self.new_slots / self.busy_slots
        return min(PERMILLE, int(ratio * PERMILLE))


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A move's lease from its holder's view; `expires_at` is in monotonic seconds."""

    fencing: int
    expires_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionInputs:
    """All inputs of a decision.

    `judgement` is None without merged evidence, `cut` is None without a known cut, and `lease`
    is None when this node does not hold the move's lease.
    """

    move: Move
    judgement: Judgement | None
    capacity: Capacity
    lease: HeldLease | None
    now: float
    unix_ms: int
    cut: Cut | None = None


@dataclass(slots=True)
class MoveController:
    """Controls one move; it can be discarded and recreated at any time.

    It returns the same change until the snapshot contains it or a newer one. Writing a change
    again after a lost response is harmless, because each change names the step that it follows.
    """

    move_id: str
    _end_reason: EndReason = field(default_factory=EndReason)
    _life: LifeCycle = field(init=False)

    def __post_init__(self) -> None:
        self._life = start_lifecycle(self._end_reason)

    def decide(self, inputs: DecisionInputs) -> AdvanceMove | EndMove | None:
        """Return the change to write now, if any."""
        move = inputs.move
        observe_move(self._life, move)
        if move.state is not MoveState.RUNNING or not _holds_lease(inputs):
            return None
        self._decide_end(inputs)
        decision = self._life.read_decision()
        if decision is not MoveState.RUNNING:
            return self._build_end(inputs, decision)
        return _step_up(inputs)

    def _decide_end(self, inputs: DecisionInputs) -> None:
        judgement = inputs.judgement
        if inputs.cut is not None:
            cut = inputs.cut
            self._life.take_back(cut.cause, f"cut by {cut.node}: {cut.evidence}")
        elif judgement is not None and judgement.verdict is Verdict.BAD:
            self._life.take_back(judgement.cause, judgement.evidence)
        elif _has_soaked(inputs):
            self._complete("proven at full share", inputs)
        elif inputs.unix_ms >= _get_plan(inputs.move).finish_by_unix_ms:
            self._decide_late(inputs)

    def _decide_late(self, inputs: DecisionInputs) -> None:
        if may_complete_late(inputs):
            self._complete("in time by the policy's caution", inputs)
        else:
            self._life.take_back(DEADLINE_CAUSE, _describe(inputs))

    def _complete(self, cause: str, inputs: DecisionInputs) -> None:
        self._life.complete(cause, _describe(inputs))

    def _build_end(self, inputs: DecisionInputs, decision: MoveState) -> EndMove:
        lease = inputs.lease
        assert lease is not None
        return EndMove(
            move_id=self.move_id,
            state=decision,
            cause=self._end_reason.cause,
            evidence=self._end_reason.evidence,
            ended_unix_ms=inputs.unix_ms,
            fencing=lease.fencing,
        )


def may_complete_late(inputs: DecisionInputs) -> bool:
    """Return whether a move that has run out of time is completed instead of rolled back.

    At full share the version must not be suspicious, and a cautious policy also requires proof
    that it is good. Below full share only a policy with low caution completes the move, which
    requires proof at half of the calls or more and enough capacity for all calls.
    """
    move = inputs.move
    judgement = inputs.judgement
    if judgement is None or judgement.step != move.step or judgement.is_suspicious:
        return False
    is_proven = judgement.verdict is Verdict.GOOD
    has_low_caution = move.policy.caution < BALANCED_CAUTION
    if move.share_permille >= PERMILLE:
        return is_proven or has_low_caution
    if move.share_permille < LARGE_SHARE_PERMILLE:
        return False
    return is_proven and has_low_caution and inputs.capacity.compute_max_share() >= PERMILLE


def _get_plan(move: Move) -> Plan:
    return build_plan(move.policy, move.started_unix_ms, move.deadline_unix_ms)


def _holds_lease(inputs: DecisionInputs) -> bool:
    lease = inputs.lease
    if lease is None or inputs.now >= lease.expires_at:
        return False
    return lease.fencing >= inputs.move.fencing


def _has_soaked(inputs: DecisionInputs) -> bool:
    move = inputs.move
    if move.share_permille < PERMILLE or not _has_dwelt(inputs):
        return False
    judgement = inputs.judgement
    if judgement is None or judgement.step != move.step:
        return False
    return judgement.verdict is Verdict.GOOD and _has_route_proof(inputs, judgement)


def _has_dwelt(inputs: DecisionInputs) -> bool:
    move = inputs.move
    dwell = _get_plan(move).find_dwell_ms(move.share_permille)
    return inputs.unix_ms >= move.stepped_unix_ms + dwell


def _has_route_proof(inputs: DecisionInputs, judgement: Judgement) -> bool:
    """Return whether the routes are proven, or the plan leaves no more time to wait for it.

    At a small share only the main routes count: the others get too few calls to be proven in time.
    """
    move = inputs.move
    is_small = move.share_permille < LARGE_SHARE_PERMILLE
    awaited_routes = judgement.unproven_main_routes if is_small else judgement.unproven_routes
    if not awaited_routes:
        return True
    return inputs.unix_ms >= _get_plan(move).find_next_by_unix_ms(move.share_permille)


def _step_up(inputs: DecisionInputs) -> AdvanceMove | None:
    move = inputs.move
    if move.share_permille >= PERMILLE:
        return None
    if move.share_permille > 0 and not _may_step(inputs):
        return None
    planned = _get_plan(move).find_next_share(move.share_permille)
    share = min(planned, inputs.capacity.compute_max_share())
    lease = inputs.lease
    if share <= move.share_permille or lease is None:
        return None
    return AdvanceMove(
        move_id=move.id,
        step=move.step + 1,
        share_permille=share,
        fencing=lease.fencing,
        unix_ms=inputs.unix_ms,
    )


def _may_step(inputs: DecisionInputs) -> bool:
    move = inputs.move
    judgement = inputs.judgement
    if judgement is None or judgement.step != move.step or not _has_dwelt(inputs):
        return False
    if judgement.is_suspicious or judgement.step_calls < move.policy.min_calls_per_step:
        return False
    if judgement.verdict is Verdict.GOOD:
        return _has_route_proof(inputs, judgement)
    has_low_caution = move.policy.caution < BALANCED_CAUTION
    is_behind_plan = inputs.unix_ms >= _get_plan(move).find_next_by_unix_ms(move.share_permille)
    return has_low_caution and is_behind_plan


def _describe(inputs: DecisionInputs) -> str:
    share = f"share {inputs.move.share_permille} per mille"
    judgement = inputs.judgement
    if judgement is None:
        return f"{share}; no merged evidence"
    return f"{share}; {judgement.evidence}"
