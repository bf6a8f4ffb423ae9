"""A request that crashes each endpoint that runs it, without network.

Pattern: the request comes two or twenty times a second at any of 24 nodes and is sent to up to two
endpoints. A crash is known to its node after 0.05 s; messages take up to 0.2 s and one of ten is
lost. Each node compares what it knows with another one every second, and nodes restart without
their memory.
"""

import os
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from corianderwall.traffic.suspects import (
    QUARANTINE_CRASHES,
    SuspectRecord,
    Suspects,
    choose_for_trial,
)

NODES = 24
HORIZON_S = 100.0
ATTEMPTS = 2
DETECTION_S = 0.05
MAX_DELAY_S = 0.2
LOSS = 0.1
COMPARISON_S = 1.0
RESTART_INTERVAL_S = 5.0
CONTACT_S = 3.0
"""Time after the third crash from which the operator's bound holds."""
MAX_LATER_RETRIES = 3
SEEDS = int(os.environ.get("QUERY_OF_DEATH_SEEDS", "20"))
"""Days that are played; the long run by hand sets 50 or more."""


class Day:
    """Plays the request against the memories of all nodes; `sent_at` are its sends to endpoints."""

    def __init__(self, seed: int, requests_per_s: float) -> None:
        self.sent_at: list[float] = []
        self.crashed_at: list[float] = []
        self.now = 0.0
        self._random = Random(seed)
        self._requests_per_s = requests_per_s
        self._nodes = [Suspects() for _ in range(NODES)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._starts = count()

    def run(self) -> None:
        self._at(0.0, self._arrive)
        self._at(0.0, self._restart)
        for number in range(NODES):
            self._at(
                self._random.random() * COMPARISON_S, lambda number=number: self._compare(number)
            )
        while self._events and self._events[0][0] < HORIZON_S:
            self.now, _, action = heappop(self._events)
            action()

    def count_later_sends(self) -> int:
        bound_from = self.crashed_at[QUARANTINE_CRASHES - 1] + CONTACT_S
        return sum(sent_at > bound_from for sent_at in self.sent_at)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heappush(self._events, (self.now + delay_s, next(self._order), action))

    def _arrive(self) -> None:
        self._at(self._random.expovariate(self._requests_per_s), self._arrive)
        entry = self._random.choice(self._nodes)
        for _ in range(ATTEMPTS):
            number = self._choose_owner(entry)
            owner = self._nodes[number]
            if any(node.find_release("f", self.now) is not None for node in (entry, owner)):
                return
            is_trial = owner.needs_trial("f")
            if is_trial:
                self._share(number, owner.start_trial("f", self.now))
            self.sent_at.append(self.now)
            start = f"i-{number}@{next(self._starts)}"
            self._at(DETECTION_S, lambda number=number, start=start: self._crash(number, start))
            if is_trial or entry.needs_trial("f"):
                return

    def _choose_owner(self, entry: Suspects) -> int:
        if entry.needs_trial("f"):
            return int(choose_for_trial("f", map(str, range(NODES))))
        return self._random.randrange(NODES)

    def _crash(self, number: int, start: str) -> None:
        self.crashed_at.append(self.now)
        self._share(number, self._nodes[number].record_crash(start, ["f"], self.now))

    def _share(self, number: int, records: tuple[SuspectRecord, ...]) -> None:
        for peer in range(NODES):
            if peer != number:
                self._send(peer, records)

    def _send(self, peer: int, records: tuple[SuspectRecord, ...]) -> None:
        if self._random.random() >= LOSS:
            delay_s = self._random.random() * MAX_DELAY_S
            self._at(delay_s, lambda: self._nodes[peer].merge(records, self.now))

    def _compare(self, number: int) -> None:
        self._at(COMPARISON_S, lambda: self._compare(number))
        peer = self._random.randrange(NODES)
        own, other = self._nodes[number], self._nodes[peer]
        if own.compute_digest() != other.compute_digest():
            self._send(number, other.list_records(self.now))
            self._send(peer, own.list_records(self.now))

    def _restart(self) -> None:
        """Restart a node, which pulls the records of another one before its endpoint gets calls."""
        self._at(RESTART_INTERVAL_S, self._restart)
        number, peer = self._random.sample(range(NODES), 2)
        fresh = self._nodes[number] = Suspects()
        fresh.merge(self._nodes[peer].list_records(self.now), self.now)


# Guards against a request that goes on to end endpoints after all nodes could know it.
@pytest.mark.parametrize("requests_per_s", [2.0, 20.0])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_request_that_crashes_endpoints_stays_within_the_operators_bound(
    seed: int, requests_per_s: float
) -> None:
    day = Day(seed, requests_per_s)
    day.run()
    assert len(day.crashed_at) >= QUARANTINE_CRASHES
    assert day.count_later_sends() <= MAX_LATER_RETRIES
