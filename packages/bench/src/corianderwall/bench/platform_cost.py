"""Calls of the platform that one committed change costs: alone, racing, and with lost answers."""

import argparse
from collections.abc import Mapping
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from corianderwall.ctl.session import run_in_reactor
from corianderwall.model.change import Operation, PutSubscriber
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.resource import Subscriber
from corianderwall.standins.platform import Counters, PlatformStandin
from corianderwall.store.budget import PlatformRates
from corianderwall.store.guard import GuardedObjectApi
from corianderwall.store.head import HeadStore
from corianderwall.store.http_api import HttpObjectApi
from corianderwall.store.timer import ReactorTimer

COMMIT_TIMEOUT_S = 30.0
DEFAULT_CHANGES = 80
DEFAULT_OPERATORS = (2, 4, 8)
LOST_EVERY = 4
"""One change in this many loses the answer to its first write, or in turn to both."""


class Trial:
    """Operators at separate nodes against one stand-in."""

    def __init__(self, reactor: Any, seed: int) -> None:
        self.platform = PlatformStandin()
        self.latencies_s: list[float] = []
        self.failures = 0
        self._reactor = reactor
        self._timer = ReactorTimer(reactor)
        self._seed = seed
        self._clients: list[HttpObjectApi] = []

    async def run(self, operators: int, changes: int, *, lost_every: int = 0) -> dict[str, Any]:
        """Commit this many changes in all and return the cost of one."""
        await self.platform.start()
        stores = [self._build_store(number) for number in range(operators)]
        share = changes // operators
        await gatherResults(
            [
                Deferred.fromCoroutine(self._operate(store, number, share, lost_every))
                for number, store in enumerate(stores)
            ]
        )
        for client in self._clients:
            await client.close()
        await self.platform.stop()
        return self._report(operators)

    def _build_store(self, number: int) -> HeadStore:
        url = f"http://127.0.0.1:{self.platform.port}"
        client = HttpObjectApi(self._reactor, url)
        self._clients.append(client)
        random = Random(self._seed * 1000 + number)
        api = GuardedObjectApi(client, self._timer, random, rates=PlatformRates())
        return HeadStore(api, self._timer, random)

    async def _operate(self, store: HeadStore, number: int, changes: int, lost_every: int) -> None:
        for index in range(changes):
            if lost_every and index % lost_every == 0:
                # One answer is that of the archived record, the second that of the head.
                self.platform.switches.lost_answers = 1 + index // lost_every % 2
            change = PutSubscriber(Subscriber(name=f"s{number}-{index}", share=index + 1))
            await self._commit(store, Operation(f"op-{number}-{index}", "bench", change))

    async def _commit(self, store: HeadStore, operation: Operation) -> None:
        started = self._timer.read_monotonic()
        try:
            await store.commit(operation, deadline=started + COMMIT_TIMEOUT_S)
        except CorianderwallError:
            self.failures += 1
            return
        self.latencies_s.append(self._timer.read_monotonic() - started)

    def _report(self, operators: int) -> dict[str, Any]:
        counters: Counters = self.platform.counters
        committed = len(self.latencies_s)
        ordered = sorted(self.latencies_s)
        return {
            "operators": operators,
            "committed": committed,
            "failed": self.failures,
            "reads_per_change": round(counters.reads / committed, 2),
            "writes_per_change": round(counters.writes / committed, 2),
            "conflicts_per_change": round(counters.conflicts / committed, 2),
            "lost_answers": counters.lost_answers,
            "p50_ms": round(ordered[committed // 2] * 1000, 1),
            "p99_ms": round(ordered[min(committed - 1, committed * 99 // 100)] * 1000, 1),
        }


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Run all cases one after the other and return their costs."""
    options = _parse(arguments)

    async def run(reactor: Any) -> dict[str, object]:
        report: dict[str, object] = {"seed": options.seed}
        report["alone"] = await Trial(reactor, options.seed).run(1, options.changes)
        report["racing"] = [
            await Trial(reactor, options.seed).run(operators, options.changes)
            for operators in options.operators
        ]
        report["lost_answers"] = await Trial(reactor, options.seed).run(
            1, options.changes, lost_every=LOST_EVERY
        )
        return report

    result: dict[str, object] = run_in_reactor(run)
    return result


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="platform-cost")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=DEFAULT_CHANGES)
    parser.add_argument("--operators", type=int, nargs="+", default=list(DEFAULT_OPERATORS))
    return parser.parse_args(arguments)
