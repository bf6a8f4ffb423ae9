"""The nodes of a measured move: their real agents, joined by messages that are late or lost."""

import random
from dataclasses import dataclass, field

import msgspec

from corianderwall.bench.moves_traffic import NEW_VERSION, PLACES, Place
from corianderwall.bench.moves_world import (
    AGE_AT_START_S,
    MOVE_ID,
    NODES,
    SERVICE,
    START_UNIX_MS,
    World,
)
from corianderwall.model.change import apply_change
from corianderwall.model.endpoint import Address, Endpoint, Locality
from corianderwall.model.message import OutgoingMessage
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import PERMILLE, Snapshot
from corianderwall.moves.agent import Members, MoveAgent
from corianderwall.moves.control import HeldLease

TICK_SLICES = 5
LOSS = 0.01


@dataclass(slots=True)
class AgentSteering:
    """The nodes' agents, with messages that take a slice and are lost at times."""

    world: World
    agents: list[MoveAgent] = field(init=False)
    _queue: list[OutgoingMessage] = field(default_factory=list)
    _committed: list[tuple[int, Snapshot]] = field(default_factory=list)
    _excluded: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        members = Members(nodes=NODES, endpoints=tuple(_announce(place) for place in PLACES))
        self.agents = []
        for node in NODES:
            agent = MoveAgent(node, 1, random.Random(self.world.rng.random()))
            agent.update_members(members)
            agent.update_snapshot(self.world.snapshot)
            self.agents.append(agent)

    def choose_version(self, node: int) -> str:
        """Return the version that the node's gate chooses, else that of the split."""
        version = self.agents[node].choose_version(SERVICE)
        return version or self.world.snapshot.services[0].split[0].version

    def list_excluded(self) -> frozenset[str]:
        """Return the ejected endpoints."""
        return self._excluded

    def record(self, node: int, outcome: AttemptOutcome) -> None:
        """Count an outcome at a node."""
        self.agents[node].record(outcome)

    def advance(self, slice_index: int, world: World) -> None:
        """Deliver messages and snapshots, tick a part of the nodes and write a wanted change."""
        self._deliver(world)
        for due, snapshot in list(self._committed):
            if due <= slice_index:
                self._committed.remove((due, snapshot))
                for agent in self.agents:
                    agent.update_snapshot(snapshot)
        for position, agent in enumerate(self.agents):
            if (slice_index + position) % TICK_SLICES == 0:
                self._queue.extend(agent.tick(world.now_s, world.unix_ms))
                self._excluded |= agent.cuts.list_ejected(MOVE_ID)
                self._steer(agent, slice_index, world)

    def _deliver(self, world: World) -> None:
        queue, self._queue = self._queue, []
        for outgoing in queue:
            world.result.control_bytes += len(msgspec.msgpack.encode(outgoing.message))
            if world.rng.random() < LOSS:
                continue
            agent = self.agents[NODES.index(outgoing.peer)]
            self._queue.extend(agent.handle_message(outgoing.message))

    def _steer(self, agent: MoveAgent, slice_index: int, world: World) -> None:
        if agent.list_aggregators(MOVE_ID)[0] != agent.node or self._committed:
            return
        lease = HeldLease(fencing=1, expires_at=world.now_s + 10)
        busy = world.scenario.calls_per_s * 0.05
        change = agent.decide(MOVE_ID, lease, busy, world.now_s, world.unix_ms)
        if change is None:
            return
        world.snapshot = apply_change(world.snapshot, change)
        if world.move.share_permille >= PERMILLE and world.full_since_s < 0:
            world.full_since_s = world.now_s
        self._committed.append((slice_index + 2, world.snapshot))


def _announce(place: Place) -> Endpoint:
    return Endpoint(
        name=place.name,
        service=SERVICE,
        version=place.version,
        node="n0",
        locality=Locality(region="r1", zone=place.zone),
        address=Address(host="127.0.0.1", port=1),
        slots=12,
        connections=130,
        started_unix_ms=(
            START_UNIX_MS - AGE_AT_START_S * 1000 if place.version == NEW_VERSION else 0
        ),
    )
