"""A fleet of membership and distribution cores in one process, on a virtual clock.

Messages are encoded and decoded as on the wire, and their sizes are counted. Time on the
network, at the platform and for applying an update is modelled; see the constants.
"""

import functools
import heapq
import itertools
import operator
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from corianderwall.distribution.distributor import Distributor
from corianderwall.distribution.events import HeadReadRequested, VersionActivated
from corianderwall.distribution.messages import MESSAGES as DISTRIBUTION_MESSAGES
from corianderwall.membership.events import AdvertReceived, HostDead
from corianderwall.membership.membership import Membership
from corianderwall.membership.messages import MESSAGES as MEMBERSHIP_MESSAGES
from corianderwall.model.endpoint import Address, Endpoint, Host, Locality
from corianderwall.model.message import OutgoingMessage, PeerMessage
from corianderwall.model.resource import Snapshot

TICK_S = 0.1
ZONE_DELAY_S = 0.0002
REGION_DELAY_S = 0.001
FAR_DELAY_S = 0.020
PLATFORM_DELAY_S = 0.003
PLATFORM_READS_PER_S = 2000
WRITE_S = 0.006
"""How long a conditional update takes at the platform."""

APPLY_S = 0.001
"""Time to check and apply an update before it is passed on."""

OVERHEAD_BYTES = 174
"""Of one message beyond its frame: two CURVE frames of 35, TCP/IP header and acknowledgement."""

SEEDS = 16

_types = functools.reduce(operator.or_, (*MEMBERSHIP_MESSAGES, *DISTRIBUTION_MESSAGES))
_encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True)
class Traffic:
    """What the nodes have sent, and what the platform was asked."""

    messages: int = 0
    frame_bytes: int = 0
    platform_reads: int = 0
    platform_writes: int = 0

    @property
    def wire_bytes(self) -> int:
        """Frames and their overhead."""
        return self.frame_bytes + self.messages * OVERHEAD_BYTES


@dataclass(slots=True)
class VirtualNode:
    """The cores of one node."""

    host: Host
    membership: Membership
    distributor: Distributor
    watched_version: int = -1
    is_watching: bool = False
    life: int = 0


DistributorFactory = Callable[[Membership, random.Random, float], Distributor]


def make_distributor(members: Membership, rng: random.Random, now: float) -> Distributor:
    """Return the distributor that nodes run."""
    return Distributor(members, rng=rng, now=now)


class VirtualFleet:
    """Runs all cores; `in_force_at[version][host]` is when each version came into force."""

    def __init__(
        self,
        count: int,
        *,
        regions: int = 2,
        zones: int = 5,
        seed: int = 1,
        head: Snapshot,
        extra_messages: tuple[type[PeerMessage], ...] = (),
        make: DistributorFactory = make_distributor,
        apply_s: float = APPLY_S,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.head = head
        self.is_platform_up = True
        self.traffic = Traffic()
        self.in_force_at: dict[int, dict[str, float]] = {}
        self.highest: dict[str, int] = {}
        self.reverted = 0
        self.read_times: list[float] = []
        self.deaths: list[tuple[str, str]] = []
        self.nodes: dict[str, VirtualNode] = {}
        self.are_regions_apart = False
        self.cut_off_platform: set[str] = set()
        self._make = make
        self._apply_s = apply_s
        self._decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
            functools.reduce(operator.or_, extra_messages, _types)
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._incarnations = itertools.count(1_800_000_000_000, 7)
        self.hosts = {
            host.name: host for host in (_make_host(n, regions, zones) for n in range(count))
        }

    def start_all(self) -> None:
        """Start every node within a second, as after a power cut."""
        for name in self.hosts:
            self.call_after(self.rng.random(), functools.partial(self.start, name))

    def start(self, name: str) -> None:
        """Start a node without memory."""
        host = replace(self.hosts[name], incarnation=next(self._incarnations))
        self.hosts[name] = host
        membership = Membership(host, rng=self.rng, now=self.now)
        distributor = self._make(membership, self.rng, self.now)
        before = self.nodes.get(name)
        node = VirtualNode(host, membership, distributor)
        node.life = 0 if before is None else before.life + 1
        self.nodes[name] = node
        seeds = list(self.hosts.values())[:SEEDS]
        self.send(name, membership.join(self.rng.sample(seeds, min(3, len(seeds))), self.now))
        self.announce(name)
        self.call_after(self.rng.random() * TICK_S, functools.partial(self._tick, name, node))

    def stop(self, name: str) -> None:
        """End a node without notice."""
        self.nodes[name].life += 1
        del self.nodes[name]

    def announce(self, name: str) -> None:
        """Announce the endpoint beside a node, changed so that it is news."""
        node = self.nodes[name]
        host = node.host
        endpoint = Endpoint(
            name=f"{name}-endpoint",
            service=f"service-{int(name[-4:]) % 43:02d}",
            version="v1",
            node=name,
            locality=host.locality,
            address=Address(host=host.call_address.host, port=8000),
            slots=6,
            connections=110,
            started_unix_ms=next(self._incarnations),
            incarnation=host.incarnation,
        )
        self.send(name, node.membership.announce(endpoint, self.now))

    def commit(self, snapshot: Snapshot, accepting: str) -> None:
        """Write a change at the platform; the node that accepted it offers it at once."""
        self.head = snapshot
        self.traffic.platform_writes += 1
        self._offer(accepting, asked_at=None)
        for name, node in self.nodes.items():
            if node.is_watching:
                self.call_after(PLATFORM_DELAY_S, functools.partial(self._watch, name, node))

    def call_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, is_done: Callable[[], bool], *, limit_s: float, step_s: float) -> float:
        """Let time pass until a condition holds; return the seconds, `limit_s` if it never did."""
        start = self.now
        while not is_done() and self.now - start < limit_s:
            self.run(step_s)
        return self.now - start

    def is_converged(self) -> bool:
        """Return whether every node has the platform's head in force."""
        return len(self.nodes) == len(self.hosts) and all(
            node.distributor.current is not None
            and node.distributor.current.version == self.head.version
            for node in self.nodes.values()
        )

    def send(self, sender: str, outgoing: list[OutgoingMessage]) -> None:
        """Encode, count and deliver messages."""
        for each in outgoing:
            data = _encoder.encode(each.message)
            self.traffic.messages += 1
            self.traffic.frame_bytes += len(data) + len(sender)
            delay_s = self._find_delay(sender, each.peer)
            if delay_s is not None:
                action = functools.partial(self._deliver, sender, each.peer, data)
                self.call_after(delay_s, action)

    def _find_delay(self, sender: str, receiver: str) -> float | None:
        here, there = self.hosts[sender].locality, self.hosts[receiver].locality
        if here.region != there.region:
            return None if self.are_regions_apart else FAR_DELAY_S
        return ZONE_DELAY_S if here.zone == there.zone else REGION_DELAY_S

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        node = self.nodes.get(receiver)
        if node is None:
            return
        message = self._decoder.decode(data)
        if isinstance(message, MEMBERSHIP_MESSAGES):
            self.send(receiver, node.membership.handle(sender, message, self.now))
        else:
            held = node.distributor.held_version
            outgoing = node.distributor.handle(sender, message, self.now)
            self._send_applied(receiver, node, outgoing, held)
        self._dispatch(receiver, node)

    def _send_applied(
        self, name: str, node: VirtualNode, outgoing: list[OutgoingMessage], held: int
    ) -> None:
        """Send at once, or after the time for applying if a newer version was taken over."""
        if node.distributor.held_version == held:
            self.send(name, outgoing)
        else:
            self.call_after(self._apply_s, functools.partial(self.send, name, outgoing))

    def _tick(self, name: str, node: VirtualNode) -> None:
        if self.nodes.get(name) is not node:
            return
        self.call_after(TICK_S, functools.partial(self._tick, name, node))
        node.membership.set_advert(node.distributor.make_advert())
        self.send(name, node.membership.tick(self.now))
        self._dispatch(name, node)
        self.send(name, node.distributor.tick(self.now))
        self._dispatch(name, node)
        was_watching, node.is_watching = node.is_watching, self._is_watcher(node)
        if node.is_watching and not was_watching:
            self.call_after(PLATFORM_DELAY_S, functools.partial(self._watch, name, node))

    def _is_watcher(self, node: VirtualNode) -> bool:
        return node.membership.has_joined and node.distributor.is_watcher

    def _watch(self, name: str, node: VirtualNode) -> None:
        is_current = node.watched_version >= self.head.version
        if self._reaches_platform(name, node) and not is_current:
            node.watched_version = self.head.version
            self._count_read()
            self._offer(name, asked_at=None)

    def _read(self, name: str, node: VirtualNode, asked_at: float) -> None:
        if self._reaches_platform(name, node):
            self._count_read()
            self._offer(name, asked_at=asked_at)

    def _reaches_platform(self, name: str, node: VirtualNode) -> bool:
        is_running = self.nodes.get(name) is node
        return is_running and self.is_platform_up and name not in self.cut_off_platform

    def _count_read(self) -> None:
        self.traffic.platform_reads += 1
        self.read_times.append(self.now)

    def _offer(self, name: str, asked_at: float | None) -> None:
        node = self.nodes[name]
        outgoing = node.distributor.handle_head(self.head, self.now, asked_at=asked_at)
        self.call_after(self._apply_s, functools.partial(self.send, name, outgoing))
        self._dispatch(name, node)

    def _dispatch(self, name: str, node: VirtualNode) -> None:
        for event in node.membership.take_events():
            if isinstance(event, AdvertReceived):
                outgoing = node.distributor.handle_advert(event.peer, event.advert, self.now)
                self.send(name, outgoing)
            elif isinstance(event, HostDead):
                self.deaths.append((name, event.host.name))
        for decision in node.distributor.take_events():
            if isinstance(decision, VersionActivated):
                self._note_in_force(name, decision.snapshot.version)
            elif isinstance(decision, HeadReadRequested):
                read = functools.partial(self._read, name, node, self.now)
                self.call_after(PLATFORM_DELAY_S, read)

    def _note_in_force(self, name: str, version: int) -> None:
        if version < self.highest.get(name, version):
            self.reverted += 1
        self.highest[name] = max(version, self.highest.get(name, version))
        self.in_force_at.setdefault(version, {}).setdefault(name, self.now)


def _make_host(index: int, regions: int, zones: int) -> Host:
    zone = index % zones
    address = Address(host=f"10.{zone}.{index // 250}.{index % 250 + 1}", port=7000)
    return Host(
        name=f"host-{index:04d}",
        locality=Locality(region=f"region-{zone % regions}", zone=f"zone-{zone}"),
        peer_address=address,
        call_address=address,
    )
