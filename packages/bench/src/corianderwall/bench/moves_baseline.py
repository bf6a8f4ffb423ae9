"""The baseline of the measurement of moves: fixed steps and a fixed error threshold."""

from dataclasses import dataclass, field

from corianderwall.bench.moves_traffic import NEW_VERSION, OLD_VERSION
from corianderwall.bench.moves_world import MOVE_ID, World
from corianderwall.model.change import AdvanceMove, EndMove, apply_change
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import PERMILLE, MoveState
from corianderwall.moves.share import TrafficSplitter

CHECK_SLICES = 50
ERROR_THRESHOLD = 0.05
LEAST_CALLS = 5
NOTHING: frozenset[str] = frozenset()


@dataclass(slots=True)
class FixedSteps:
    """Goes up a step at equal times; takes back when over 5% of 5 s of calls failed."""

    gate: TrafficSplitter = field(default_factory=lambda: TrafficSplitter(0.0))
    calls: int = 0
    failures: int = 0
    steps: int = 0

    def choose_version(self, node: int) -> str:
        """Return the version that the share gives."""
        return NEW_VERSION if self.gate.choose_new() else OLD_VERSION

    def list_excluded(self) -> frozenset[str]:
        """Return nothing: no endpoint is ever taken out."""
        return NOTHING

    def record(self, node: int, outcome: AttemptOutcome) -> None:
        """Count an outcome."""
        if outcome.version == NEW_VERSION and not outcome.refused:
            self.calls += 1
            self.failures += outcome.is_failure

    def advance(self, slice_index: int, world: World) -> None:
        """Check the last 5 s, go up a step when its time has come, end in time."""
        if world.move.state is not MoveState.RUNNING:
            return
        if slice_index % CHECK_SLICES == 0:
            if self.calls >= LEAST_CALLS and self.failures > ERROR_THRESHOLD * self.calls:
                self._end(world, MoveState.TAKEN_BACK)
                return
            self.calls = self.failures = 0
        shares = world.scenario.policy.steps_permille
        usable = 0.9 * world.scenario.duration_s
        due = int(world.now_s / usable * (len(shares) + 1))
        if due >= len(shares) + 1:
            self._end(world, MoveState.COMPLETED)
        elif due >= self.steps and self.steps < len(shares):
            self._step(world, shares[self.steps])

    def _step(self, world: World, share: int) -> None:
        self.steps += 1
        change = AdvanceMove(MOVE_ID, self.steps, share, 1, world.unix_ms)
        world.snapshot = apply_change(world.snapshot, change)
        self.gate.update(share)
        if share == PERMILLE:
            world.full_since_s = world.now_s

    def _end(self, world: World, state: MoveState) -> None:
        change = EndMove(MOVE_ID, state, "fixed threshold", "", world.unix_ms, 1)
        world.snapshot = apply_change(world.snapshot, change)
        self.gate.update(PERMILLE if state is MoveState.COMPLETED else 0)
