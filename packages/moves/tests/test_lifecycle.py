import random
from dataclasses import replace
from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from corianderwall.model.change import (
    AddVersion,
    EndMove,
    PutService,
    StartMove,
    apply_change,
    find_move,
)
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.resource import (
    EMPTY_SNAPSHOT,
    MovePolicy,
    MoveState,
    Service,
    VersionShare,
)
from corianderwall.moves.control import Capacity, DecisionInputs, HeldLease, MoveController
from corianderwall.moves.cut import CutRegistry
from corianderwall.moves.judgement import Judgement, Verdict
from corianderwall.moves.plan import build_plan
from corianderwall.moves.share import TrafficSplitter

START = 1_000_000
DEADLINE = START + 120_000
POLICY = MovePolicy(min_calls_per_step=60)


def start_move():
    split = (VersionShare(version="v1", permille=1000),)
    service = Service(name="s", versions=("v1",), split=split)
    snapshot = apply_change(EMPTY_SNAPSHOT, PutService(service))
    snapshot = apply_change(snapshot, AddVersion("s", "v2"))
    return apply_change(snapshot, StartMove("m1", "s", "v2", START, DEADLINE, POLICY))


class MoveMachine(RuleBasedStateMachine):
    """A move with two lease holders, two lagging nodes, lost responses and restarts."""

    def __init__(self):
        super().__init__()
        self.head = start_move()
        self.snapshots = [self.head, self.head]
        self.controllers = [MoveController("m1"), MoveController("m1")]
        self.fencing = [1, 0]
        self.cuts = [CutRegistry(f"n{index}", random.Random(index)) for index in range(2)]
        self.splitters = [TrafficSplitter(0.5), TrafficSplitter(0.5)]
        self.second = 0.0
        self.ends = []
        self.shares = [0]
        for index in range(2):
            self._apply_snapshot(index)

    def _apply_snapshot(self, index):
        move = find_move(self.snapshots[index], "m1")
        self.cuts[index].update([move])
        self.splitters[index].update(move.share_permille)

    def _write(self, change):
        try:
            self.head = apply_change(self.head, change)
        except CorianderwallError:
            return
        self.shares.append(find_move(self.head, "m1").share_permille)
        if isinstance(change, EndMove):
            self.ends.append(change)

    @rule(seconds=st.floats(0.5, 15))
    def pass_time(self, seconds):
        self.second += seconds

    @rule(index=st.integers(0, 1))
    def deliver_snapshot(self, index):
        self.snapshots[index] = self.head
        self._apply_snapshot(index)

    @rule(index=st.integers(0, 1))
    def take_lease(self, index):
        self.fencing[index] = max(self.fencing) + 1

    @rule(index=st.integers(0, 1))
    def restart_controller(self, index):
        self.controllers[index] = MoveController("m1")

    @rule(
        index=st.integers(0, 1),
        verdict=st.sampled_from([Verdict.GOOD, Verdict.GOOD, Verdict.UNDECIDED]),
        is_lapsed=st.booleans(),
        slots=st.sampled_from([6, 100]),
    )
    def decide(self, index, verdict, is_lapsed, slots):
        move = find_move(self.snapshots[index], "m1")
        change = self.controllers[index].decide(
            DecisionInputs(
                move=move,
                judgement=Judgement(verdict=verdict, step=move.step, step_calls=100),
                capacity=Capacity(slots, 10),
                lease=HeldLease(self.fencing[index], -1 if is_lapsed else 1e9),
                now=self.second,
                unix_ms=START + int(self.second * 1000),
                cut=self.cuts[index].find_cut("m1"),
            )
        )
        if change is not None:
            known = self.cuts[index].is_cut("m1")
            assert not (known and getattr(change, "state", None) is not MoveState.TAKEN_BACK)
            self._write(change)

    @rule(index=st.integers(0, 1))
    def judge_bad(self, index):
        bad = Judgement(verdict=Verdict.BAD, cause="failures", evidence="9 of 9")
        if self.cuts[index].apply_judgement("m1", bad, START) is not None:
            self.splitters[index].stop()

    @precondition(lambda self: any(registry.is_cut("m1") for registry in self.cuts))
    @rule()
    def spread_cut(self):
        cut = next(registry.find_cut("m1") for registry in self.cuts if registry.is_cut("m1"))
        for registry, splitter in zip(self.cuts, self.splitters, strict=True):
            if registry.add_cut(cut):
                splitter.stop()

    @rule()
    def cancel(self):
        move = find_move(self.head, "m1")
        state = MoveState.TAKEN_BACK
        if self.second > 60:
            self._write(EndMove("m1", state, "cancelled", "operator", START, move.fencing))

    @invariant()
    def has_at_most_one_end(self):
        assert len(self.ends) <= 1

    @invariant()
    def matches_its_committed_state(self):
        move = find_move(self.head, "m1")
        split = {share.version: share.permille for share in self.head.services[0].split}
        assert (move.state is MoveState.RUNNING) == (not self.ends)
        if self.ends:
            expected = "v2" if move.state is MoveState.COMPLETED else "v1"
            assert split == {expected: 1000}
            assert move.cause and move.evidence and move.ended_unix_ms
        else:
            assert split.get("v2", 0) == move.share_permille

    @invariant()
    def never_falls_before_its_end_nor_exceeds_the_plan(self):
        running = self.shares[:-1] if self.ends else self.shares
        assert running == sorted(running)
        plan = build_plan(POLICY, START, DEADLINE)
        for before, after in pairwise(running):
            assert after <= plan.find_next_share(before)

    @invariant()
    def sends_nothing_to_a_cut_version(self):
        for registry, splitter in zip(self.cuts, self.splitters, strict=True):
            if registry.is_cut("m1"):
                assert not any(replace(splitter).choose_new() for _ in range(3))


TestMoveMachine = MoveMachine.TestCase
TestMoveMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=60
)
