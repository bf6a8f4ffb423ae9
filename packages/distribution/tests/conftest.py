"""A simulated fleet of membership and distribution instances with a simulated platform."""

import functools
import heapq
import itertools
import operator
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from corianderwall.distribution.distributor import Distributor
from corianderwall.distribution.events import DistributionEvent, HeadReadRequested, VersionActivated
from corianderwall.distribution.messages import MESSAGES as DISTRIBUTION_MESSAGES
from corianderwall.membership.events import AdvertReceived
from corianderwall.membership.membership import Membership
from corianderwall.membership.messages import MESSAGES as MEMBERSHIP_MESSAGES
from corianderwall.membership.status import Status
from corianderwall.model.endpoint import Address, Host, Locality
from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.model.resource import EMPTY_SNAPSHOT, Snapshot
from corianderwall.model.validation import require_valid

TICK_S = 0.1
DELAY_S = 0.005
WATCH_DELAY_S = 0.05

_encoder = msgspec.msgpack.Encoder()
_membership_types = functools.reduce(operator.or_, MEMBERSHIP_MESSAGES)
_distribution_types = functools.reduce(operator.or_, DISTRIBUTION_MESSAGES)
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    _membership_types | _distribution_types
)


def make_host(index: int, *, regions: int, zones: int, incarnation: int = 1000) -> Host:
    zone = index % zones
    address = Address(host=f"127.0.0.{index + 1}", port=7000)
    return Host(
        name=f"host-{index:03d}",
        locality=Locality(region=f"region-{zone % regions}", zone=f"zone-{zone}"),
        peer_address=address,
        call_address=address,
        incarnation=incarnation,
    )


@dataclass
class Node:
    host: Host
    membership: Membership
    distributor: Distributor
    watched_version: int = -1
    next_watch_at: float = 0.0


class Fleet:
    """Delivers encoded messages with the faults that a test sets, and checks each step.

    `versions` keeps the last active version of each host across restarts.
    """

    def __init__(self, count: int, *, regions: int, zones: int, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.head: Snapshot = EMPTY_SNAPSHOT
        self.is_platform_up = True
        self.platform_reads = 0
        self.accepted = [EMPTY_SNAPSHOT]
        self.nodes: dict[str, Node] = {}
        self.hosts = {
            host.name: host
            for host in (make_host(index, regions=regions, zones=zones) for index in range(count))
        }
        self.paused: set[str] = set()
        self.versions: dict[str, int] = {}
        self.events: list[DistributionEvent] = []
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_s = 0.0
        self.bytes_sent = 0
        self._incarnations = itertools.count(1000, 1000)
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._counter = itertools.count()
        for name in self.hosts:
            self.start(name)

    def start(self, name: str) -> None:
        host = replace(self.hosts[name], incarnation=next(self._incarnations))
        self.hosts[name] = host
        membership = Membership(host, rng=self.rng, now=self.now)
        distributor = Distributor(membership, rng=self.rng, now=self.now)
        self.nodes[name] = Node(host, membership, distributor)
        seeds = [other for other in self.hosts.values() if other.name != name]
        self.send(name, membership.join(self.rng.sample(seeds, min(3, len(seeds))), self.now))

    def stop(self, name: str) -> None:
        self.nodes.pop(name, None)
        self.paused.discard(name)

    def accept(self, snapshot: Snapshot) -> None:
        """Commit a change at the platform."""
        self.head = snapshot
        self.accepted.append(snapshot)

    def send(self, sender: str, outgoing: list[OutgoingMessage]) -> None:
        for each in outgoing:
            data = _encoder.encode(each.message)
            self.bytes_sent += len(data)
            copies = 1 + (self.rng.random() < self.duplication)
            for _ in range(copies):
                if self.rng.random() >= self.loss and not self.is_cut(sender, each.peer):
                    at = self.now + DELAY_S + self.rng.random() * self.max_delay_s
                    heapq.heappush(self._queue, (at, next(self._counter), sender, each.peer, data))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - TICK_S / 2:
            self.step()

    def step(self) -> None:
        until = self.now + TICK_S
        for name, node in list(self.nodes.items()):
            if name not in self.paused:
                self._tick(name, node)
        while self._queue and self._queue[0][0] <= until:
            self.now, _, sender, receiver, data = heapq.heappop(self._queue)
            self._deliver_message(sender, receiver, data)
        self.now = until
        self.check()

    def check(self) -> None:
        """Check the invariants that hold after every step."""
        for name, node in self.nodes.items():
            current = node.distributor.current
            if current is None:
                continue
            require_valid(current)
            assert current in self.accepted, f"{name} activated a snapshot never accepted"
            assert current.version >= self.versions.get(name, -1), f"{name} rolled back"
            self.versions[name] = current.version
        assert self.head in self.accepted

    def find_lagging(self) -> list[str]:
        return [
            name
            for name, node in self.nodes.items()
            if node.distributor.current is None or node.distributor.current != self.head
        ]

    def take_events(self) -> list[DistributionEvent]:
        events, self.events = self.events, []
        return events

    def _tick(self, name: str, node: Node) -> None:
        node.membership.set_advert(node.distributor.make_advert())
        self.send(name, node.membership.tick(self.now))
        self._dispatch(name, node)
        self.send(name, node.distributor.tick(self.now))
        self._dispatch(name, node)
        if node.distributor.is_watcher and self.now >= node.next_watch_at:
            self._watch(name, node)

    def _watch(self, name: str, node: Node) -> None:
        if self.is_platform_up and self.head.version != node.watched_version:
            self.platform_reads += 1
            node.watched_version = self.head.version
            self.send(name, node.distributor.handle_head(self.head, self.now))

    def _deliver_message(self, sender: str, receiver: str, data: bytes) -> None:
        if receiver in self.paused:
            at = self.now + TICK_S
            heapq.heappush(self._queue, (at, next(self._counter), sender, receiver, data))
            return
        node = self.nodes.get(receiver)
        if node is None:
            return
        message = _decoder.decode(data)
        if isinstance(message, MEMBERSHIP_MESSAGES):
            self.send(receiver, node.membership.handle(sender, message, self.now))
        else:
            self.send(receiver, node.distributor.handle(sender, message, self.now))
        self._dispatch(receiver, node)

    def _dispatch(self, name: str, node: Node) -> None:
        for event in node.membership.take_events():
            if isinstance(event, AdvertReceived):
                outgoing = node.distributor.handle_advert(event.peer, event.advert, self.now)
                self.send(name, outgoing)
        for event in node.distributor.take_events():
            self.events.append(event)
            if isinstance(event, HeadReadRequested) and self.is_platform_up:
                self.platform_reads += 1
                self.send(
                    name, node.distributor.handle_head(self.head, self.now, asked_at=self.now)
                )
            elif isinstance(event, VersionActivated):
                assert event.snapshot in self.accepted


@pytest.fixture
def build_fleet() -> Callable[..., Fleet]:
    def build(
        count: int, *, regions: int = 2, zones: int = 5, seed: int = 1, settle_s: float = 8.0
    ) -> Fleet:
        fleet = Fleet(count, regions=regions, zones=zones, seed=seed)
        fleet.run(settle_s)
        return fleet

    return build


@pytest.fixture
def fleet_type() -> type[Fleet]:
    return Fleet


def make_zone_host(name: str, zone: str) -> Host:
    address = Address(host="127.0.0.1", port=7000)
    locality = Locality(region="r", zone=zone)
    return Host(name=name, locality=locality, peer_address=address, call_address=address)


@dataclass
class FixedMembers:
    hosts: tuple[Host, ...]
    sessions: dict[str, int] = field(default_factory=dict)
    neighbours: tuple[str, ...] = ()
    has_joined: bool = True
    view_digest: int = 1

    @property
    def me(self) -> Host:
        return self.hosts[0]

    def find_host(self, name: str) -> Host | None:
        return next((host for host in self.hosts if host.name == name), None)

    def list_hosts(self) -> tuple[Host, ...]:
        return self.hosts

    def get_status(self, name: str) -> Status:
        return Status.LIVE

    def get_session(self, name: str) -> int:
        return self.sessions.get(name, 1)


@pytest.fixture
def build_members() -> Callable[[str], FixedMembers]:
    def build(zones: str) -> FixedMembers:
        hosts = (make_zone_host(f"h{index}", zone) for index, zone in enumerate(zones))
        return FixedMembers(tuple(hosts))

    return build
