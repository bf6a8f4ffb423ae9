"""Object API with a rate limit, the node's share of the platform's rate, and a circuit breaker."""

from collections.abc import Awaitable
from dataclasses import dataclass
from random import Random
from typing import TypeVar

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.store.api import ObjectApi, StoredObject
from corianderwall.store.budget import WRITE_BURST, CallBudget, PlatformRates, compute_share
from corianderwall.store.circuit import CircuitBreaker
from corianderwall.store.timer import Timer

T = TypeVar("T")

MAX_BUDGET_WAIT_S = 2.0
"""Longest wait of a call for its budget; other calls are refused with a retry delay."""

_PLATFORM_FAILURES = (ErrorCode.PLATFORM_UNAVAILABLE, ErrorCode.OUTCOME_UNKNOWN)


@dataclass(slots=True)
class CallCounts:
    """Number of calls sent to the platform by kind, of their failures and of refused calls."""

    reads: int = 0
    watches: int = 0
    lists: int = 0
    writes: int = 0
    deletes: int = 0
    failures: int = 0
    throttled: int = 0
    conflicts: int = 0
    over_budget: int = 0


class GuardedObjectApi:
    """Implements `ObjectApi` with a read budget, a write budget and a circuit breaker.

    A watch uses the read budget.
    """

    def __init__(
        self, inner: ObjectApi, timer: Timer, random: Random, *, rates: PlatformRates
    ) -> None:
        self.counts = CallCounts()
        self._inner = inner
        self._timer = timer
        self._random = random
        self._rates = rates
        self._circuit = CircuitBreaker()
        now = timer.read_monotonic()
        self._read_budget = CallBudget(rates.reads_per_s, now=now)
        self._write_budget = CallBudget(
            rates.writes_per_s, now=now, burst=WRITE_BURST, initial_tokens=WRITE_BURST
        )

    @property
    def circuit_state(self) -> str:
        """Return the state of the circuit breaker: closed, open or probing."""
        return self._circuit.state

    def adjust_rates(self, *, nodes: int, holders: int, is_holder: bool) -> None:
        """Compute this node's share of the platform's rates from the size of the fleet."""
        now = self._timer.read_monotonic()
        for budget, rate in (
            (self._read_budget, self._rates.reads_per_s),
            (self._write_budget, self._rates.writes_per_s),
        ):
            share = compute_share(rate, nodes=nodes, holders=holders, is_holder=is_holder)
            budget.set_rate(share, now=now)

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""
        await self._admit(self._read_budget)
        self.counts.reads += 1
        return await self._record_outcome(self._inner.read(key))

    async def write_if(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write if the object has the expected revision and return the new revision."""
        await self._admit(self._write_budget)
        self.counts.writes += 1
        return await self._record_outcome(
            self._inner.write_if(key, value, expected_revision=expected_revision)
        )

    async def delete_if(self, key: str, *, expected_revision: int) -> None:
        """Delete the object if it has the expected revision."""
        await self._admit(self._write_budget)
        self.counts.deletes += 1
        await self._record_outcome(self._inner.delete_if(key, expected_revision=expected_revision))

    async def watch(self, key: str, *, after_revision: int, wait_s: float) -> StoredObject | None:
        """Return the object once its revision exceeds `after_revision`, or None after `wait_s`."""
        await self._admit(self._read_budget)
        self.counts.watches += 1
        return await self._record_outcome(
            self._inner.watch(key, after_revision=after_revision, wait_s=wait_s)
        )

    async def list_keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys that start with `prefix`, sorted."""
        await self._admit(self._read_budget)
        self.counts.lists += 1
        return await self._record_outcome(self._inner.list_keys(prefix))

    async def _admit(self, budget: CallBudget) -> None:
        now = self._timer.read_monotonic()
        wait_s = budget.reserve(now, max_wait_s=MAX_BUDGET_WAIT_S)
        if wait_s is None:
            self.counts.over_budget += 1
            raise CorianderwallError(
                ErrorCode.PLATFORM_THROTTLED,
                "this node's share of the platform's rate is used up",
                retry_after_s=budget.compute_wait(now),
            )
        if wait_s > 0:
            await self._timer.sleep(wait_s)
        self._check_circuit()

    def _check_circuit(self) -> None:
        now = self._timer.read_monotonic()
        if not self._circuit.permit(now):
            raise CorianderwallError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the circuit breaker refuses the call because the platform has failed repeatedly",
                retry_after_s=self._circuit.compute_wait(now),
            )

    async def _record_outcome(self, call: Awaitable[T]) -> T:
        try:
            result = await call
        except CorianderwallError as error:
            self._record_error(error.code)
            raise
        self._circuit.record_success()
        return result

    def _record_error(self, code: ErrorCode) -> None:
        if code in _PLATFORM_FAILURES:
            self.counts.failures += 1
            self._circuit.record_failure(self._timer.read_monotonic(), self._random)
            return
        if code is ErrorCode.PLATFORM_THROTTLED:
            self.counts.throttled += 1
        if code is ErrorCode.CONFLICT:
            self.counts.conflicts += 1
        self._circuit.record_success()
