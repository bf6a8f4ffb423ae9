"""A simulated network of membership instances with a virtual clock."""

import functools
import heapq
import itertools
import operator
import random
from collections.abc import Callable

import msgspec
import pytest

from corianderwall.membership.events import MembershipEvent
from corianderwall.membership.membership import Membership
from corianderwall.membership.messages import MESSAGES
from corianderwall.model.endpoint import Address, Host, Locality
from corianderwall.model.message import OutgoingMessage, PeerMessage

TICK_S = 0.1
DELAY_S = 0.005

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    functools.reduce(operator.or_, MESSAGES)
)


def make_host(index: int, *, regions: int = 2, zones: int = 5, incarnation: int = 1000) -> Host:
    zone = index % zones
    address = Address(host=f"127.0.{index // 250}.{index % 250 + 1}", port=7000)
    return Host(
        name=f"host-{index:03d}",
        locality=Locality(region=f"region-{zone % regions}", zone=f"zone-{zone}"),
        peer_address=address,
        call_address=address,
        incarnation=incarnation,
    )


class Net:
    """Delivers encoded messages after a delay, except between pairs for which `is_cut` is true."""

    def __init__(self, hosts: list[Host], seed: int = 1) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.hosts = {host.name: host for host in hosts}
        self.cores: dict[str, Membership] = {}
        self.paused: set[str] = set()
        self.events: dict[str, list[MembershipEvent]] = {host.name: [] for host in hosts}
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.bytes_sent = 0
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self._held: list[tuple[str, str, bytes]] = []
        self._counter = itertools.count()
        for host in hosts:
            self.start(host, hosts[:2])

    def start(self, host: Host, seeds: list[Host]) -> Membership:
        core = Membership(host, rng=self.rng, now=self.now)
        self.cores[host.name] = core
        self.send(host.name, core.join(seeds, self.now))
        return core

    def stop(self, name: str) -> None:
        del self.cores[name]

    def send(self, sender: str, outgoing: list[OutgoingMessage]) -> None:
        for each in outgoing:
            data = _encoder.encode(each.message)
            self.bytes_sent += len(data)
            if not self.is_cut(sender, each.peer):
                at = self.now + DELAY_S
                heapq.heappush(self._queue, (at, next(self._counter), sender, each.peer, data))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for name, core in list(self.cores.items()):
                if name not in self.paused:
                    self.send(name, core.tick(self.now))
            self._deliver(self.now + TICK_S)
            self.now += TICK_S
            for name, core in self.cores.items():
                self.events[name] += core.take_events()

    def wake(self, name: str) -> None:
        self.paused.discard(name)
        held, self._held = self._held, []
        for sender, receiver, data in held:
            self._deliver_message(sender, receiver, data)

    def _deliver(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, sender, receiver, data = heapq.heappop(self._queue)
            if not self.is_cut(sender, receiver):
                self._deliver_message(sender, receiver, data)
        self.now = until - TICK_S

    def _deliver_message(self, sender: str, receiver: str, data: bytes) -> None:
        if receiver in self.paused:
            self._held.append((sender, receiver, data))
        elif receiver in self.cores:
            core = self.cores[receiver]
            self.send(receiver, core.handle(sender, _decoder.decode(data), self.now))

    def seen_by(self, name: str, kind: type) -> list[str]:
        return [event.host.name for event in self.events[name] if isinstance(event, kind)]

    def clear_events(self) -> None:
        for events in self.events.values():
            events.clear()


@pytest.fixture
def build_net() -> Callable[..., Net]:
    def build(count: int, *, regions: int = 2, zones: int = 5, settle_s: float = 12.0) -> Net:
        net = Net([make_host(index, regions=regions, zones=zones) for index in range(count)])
        net.run(settle_s)
        net.clear_events()
        return net

    return build
