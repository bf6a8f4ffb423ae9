"""A move under a virtual clock: real decisions of the nodes, fake upstreams and platform."""

import random
from dataclasses import dataclass, field
from typing import Protocol

from corianderwall.bench.moves_traffic import (
    NEW_VERSION,
    OLD_VERSION,
    PLACES,
    ROUTE_WEIGHTS,
    ROUTES,
    SUBSCRIBERS,
    ZONES,
    Place,
    Request,
    Response,
    UpstreamModel,
)
from corianderwall.model.change import AddVersion, PutService, StartMove, apply_change, find_move
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import (
    EMPTY_SNAPSHOT,
    PERMILLE,
    Move,
    MovePolicy,
    MoveState,
    Service,
    Snapshot,
    VersionShare,
)
from corianderwall.model.verdict import Verdict
from corianderwall.moves.agent import WARMUP_S
from corianderwall.moves.evaluation import WindowBuilder
from corianderwall.moves.evidence import MoveEvidence
from corianderwall.moves.judgement import Judge
from corianderwall.moves.judgement import Verdict as Finding
from corianderwall.moves.settings import choose_settings

SERVICE = "gazeti"
MOVE_ID = "m1"
START_UNIX_MS = 1_800_000_000_000
SLICE_S = 0.1
"""Step of the virtual clock; a message takes one, the spread of a snapshot two."""

ORACLE_SLICES = 2
AGE_AT_START_S = 5
"""Age of the new version's endpoints when the move starts."""

WARM_AFTER_S = WARMUP_S - AGE_AT_START_S
NODES = tuple(f"n{index}" for index in range(8))


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Size and policy of a measured move."""

    calls_per_s: float
    duration_s: float
    policy: MovePolicy

    @property
    def deadline_unix_ms(self) -> int:
        """Return the deadline of the move."""
        return START_UNIX_MS + int(self.duration_s * 1000)


@dataclass(slots=True, kw_only=True)
class Result:
    """What became of one move; instants are seconds since its start, -1 for never."""

    state: MoveState = MoveState.RUNNING
    ended_s: float = -1.0
    cause: str = ""
    calls: int = 0
    bad_calls: int = 0
    last_bad_s: float = -1.0
    detectable_s: float = -1.0
    control_bytes: int = 0
    ejected: tuple[str, ...] = ()


class Steering(Protocol):
    """What decides on a move: the nodes' agents or the baseline."""

    def choose_version(self, node: int) -> str:
        """Return the version for a call that enters at a node."""

    def list_excluded(self) -> frozenset[str]:
        """Return the endpoints that receive no calls."""

    def record(self, node: int, outcome: AttemptOutcome) -> None:
        """Count an outcome at a node."""

    def advance(self, slice_index: int, world: "World") -> None:
        """Do what is due in this slice."""


@dataclass(slots=True)
class World:
    """The virtual clock, the platform's snapshot and the counters."""

    scenario: Scenario
    rng: random.Random
    snapshot: Snapshot
    now_s: float = 0.0
    full_since_s: float = -1.0
    result: Result = field(default_factory=Result)

    @property
    def unix_ms(self) -> int:
        """Return the wall clock."""
        return START_UNIX_MS + int(self.now_s * 1000)

    @property
    def move(self) -> Move:
        """Return the move as the platform has it."""
        return find_move(self.snapshot, MOVE_ID)


def create_world(scenario: Scenario, rng: random.Random) -> World:
    """Return a world in which the move has just started."""
    service = Service(
        name=SERVICE,
        versions=(OLD_VERSION,),
        split=(VersionShare(version=OLD_VERSION, permille=PERMILLE),),
    )
    snapshot = apply_change(EMPTY_SNAPSHOT, PutService(service))
    snapshot = apply_change(snapshot, AddVersion(SERVICE, NEW_VERSION))
    start = StartMove(
        MOVE_ID,
        SERVICE,
        NEW_VERSION,
        START_UNIX_MS,
        scenario.deadline_unix_ms,
        scenario.policy,
    )
    return World(scenario, rng, apply_change(snapshot, start))


def run_move(
    world: World, model: UpstreamModel, steering: Steering, *, with_oracle: bool
) -> Result:
    """Run a move to its statement, or to three seconds after its deadline."""
    oracle = Oracle(world.move) if with_oracle else None
    traffic = Traffic(world, model, steering, oracle)
    slices = int((world.scenario.duration_s + 3) / SLICE_S)
    after_end = 0
    for index in range(slices):
        world.now_s = index * SLICE_S
        traffic.run_slice(index)
        steering.advance(index, world)
        if oracle is not None and index % ORACLE_SLICES == 0:
            oracle.judge(world)
        if world.move.state is not MoveState.RUNNING:
            after_end += 1
        if after_end > 5:
            break
    _close_result(world)
    return world.result


def _close_result(world: World) -> None:
    move = world.move
    world.result.state = move.state
    world.result.cause = move.cause
    if move.state is not MoveState.RUNNING:
        world.result.ended_s = (move.ended_unix_ms - START_UNIX_MS) / 1000


@dataclass(slots=True)
class Oracle:
    """The same tests with all evidence in one place, judged every 0.2 s, without any delay."""

    move: Move
    evidence: MoveEvidence = field(init=False)
    new_endpoints: frozenset[str] = field(init=False)
    judge_of_all: Judge = field(init=False)
    cutter: WindowBuilder = field(init=False)

    def __post_init__(self) -> None:
        zones = {place.name: place.zone for place in PLACES}
        new = {place.name: place.zone for place in PLACES if place.version == NEW_VERSION}
        self.new_endpoints = frozenset(new)
        windows = (self.move.deadline_unix_ms - self.move.started_unix_ms) / 1000
        settings = choose_settings(self.move.policy, windows / (ORACLE_SLICES * SLICE_S), 1)
        self.evidence = MoveEvidence(self.move, zones)
        self.judge_of_all = Judge(settings, new)
        self.cutter = WindowBuilder(self.evidence)

    def judge(self, world: World) -> None:
        """Note when the version's badness is detectable."""
        if world.result.detectable_s >= 0:
            return
        is_warming = world.now_s < WARM_AFTER_S
        self.evidence.warming = self.new_endpoints if is_warming else frozenset()
        self.judge_of_all.add_window(self.cutter.close_window())
        if self.judge_of_all.judge().verdict in (Finding.BAD, Finding.BAD_ENDPOINTS):
            world.result.detectable_s = world.now_s


@dataclass(slots=True)
class Traffic:
    """Callers that send at a rate which swings, and the calls that are under way."""

    world: World
    model: UpstreamModel
    steering: Steering
    oracle: Oracle | None
    _outstanding: dict[str, int] = field(default_factory=lambda: {p.name: 0 for p in PLACES})
    _due: dict[int, list[tuple[int, AttemptOutcome]]] = field(default_factory=dict)
    _weights: list[float] = field(init=False)

    def __post_init__(self) -> None:
        self._weights = [self.world.rng.uniform(0.2, 2.0) for _ in NODES]

    def run_slice(self, index: int) -> None:
        """Finish the calls that are due and start this slice's."""
        for node, outcome in self._due.pop(index, ()):
            self._outstanding[outcome.endpoint] -= 1
            self.steering.record(node, outcome)
            if self.oracle is not None:
                self.oracle.evidence.record(outcome)
        rng = self.world.rng
        rate = self.world.scenario.calls_per_s * (1.6 if int(self.world.now_s / 15) % 2 else 0.7)
        wanted = rate * SLICE_S
        count = int(wanted) + (rng.random() < wanted % 1)
        nodes = rng.choices(range(len(NODES)), self._weights, k=count)
        routes = rng.choices(ROUTES, ROUTE_WEIGHTS, k=count)
        subscribers = rng.choices(SUBSCRIBERS, k=count)
        for node, route, subscriber in zip(nodes, routes, subscribers, strict=True):
            self._send(index, node, route, subscriber)

    def _send(self, index: int, node: int, route: str, subscriber: str) -> None:
        world = self.world
        version = self.steering.choose_version(node)
        place = self._choose_place(version)
        since_full = world.now_s - world.full_since_s if world.full_since_s >= 0 else -1.0
        outstanding = self._outstanding[place.name]
        request = Request(place, route, subscriber, outstanding, world.now_s, since_full)
        response = self.model.respond(request)
        self._count(response)
        self._outstanding[place.name] += 1
        outcome = AttemptOutcome(
            service=SERVICE,
            version=version,
            route=route,
            endpoint=place.name,
            subscriber=subscriber,
            verdict=Verdict.RAN,
            status=response.status,
            latency_s=response.latency_s,
            refused=response.is_refused,
            outstanding=outstanding,
        )
        due = index + 1 + int(response.latency_s / SLICE_S)
        self._due.setdefault(due, []).append((node, outcome))

    def _choose_place(self, version: str) -> Place:
        excluded = self.steering.list_excluded()
        offset = len(ZONES) if version == NEW_VERSION else 0
        start = int(self.world.rng.random() * len(ZONES))
        for step in range(len(ZONES)):
            place = PLACES[offset + (start + step) % len(ZONES)]
            if place.name not in excluded:
                return place
        return PLACES[offset + start]

    def _count(self, response: Response) -> None:
        result = self.world.result
        if self.world.move.state is MoveState.RUNNING or response.is_bad:
            result.calls += 1
        if response.is_bad:
            result.bad_calls += 1
            result.last_bad_s = self.world.now_s
