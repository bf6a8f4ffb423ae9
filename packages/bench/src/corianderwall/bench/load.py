"""Open-loop and closed-loop load on one address, through the pool of connections of a node."""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import click
from hdrh.histogram import HdrHistogram
from twisted.internet.defer import Deferred

from corianderwall.bench.running import run_session
from corianderwall.httpflow.attempt import AttemptResult, OutgoingCall, ResponseHead
from corianderwall.httpflow.pool import UpstreamPool
from corianderwall.model.endpoint import Address

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_FIGURES = 3
SPIN_S = 0.0015
"""The timers of the loop tick in milliseconds: the rest of a wait is spent polling."""


@dataclass(slots=True)
class LoadReport:
    """Latencies from the instant when a call was due, and what became of the calls."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
    )
    outcomes: Counter[str] = field(default_factory=Counter)
    seconds: float = 0.0

    @property
    def calls(self) -> int:
        """Return the number of calls that ended."""
        return sum(self.outcomes.values())

    def read_ms(self, percentile: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000

    def add(self, other: "LoadReport") -> None:
        """Take in the calls of another report."""
        self.histogram.add(other.histogram)
        self.outcomes.update(other.outcomes)
        self.seconds += other.seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class CallShape:
    """What the calls of a load look like."""

    target: bytes = b"/bytes/256"
    method: bytes = b"GET"
    headers: tuple[tuple[bytes, bytes], ...] = ()
    timeout_s: float = 10.0

    def make_call(self, call_id: bytes, now: float) -> OutgoingCall:
        """Return the call with this id."""
        headers = [(b"host", b"bench"), (b"x-call-id", call_id), *self.headers]
        return OutgoingCall(
            method=self.method,
            target=self.target,
            headers=headers,
            deadline=now + self.timeout_s,
            idempotent=self.method == b"GET",
        )


class CallReceiver:
    """Checks that an answer belongs to its call, and reports the end of the call."""

    __slots__ = ("_call_id", "_on_end", "body", "head")

    def __init__(
        self, call_id: bytes, on_end: Callable[["CallReceiver", AttemptResult], None]
    ) -> None:
        self._call_id = call_id
        self._on_end = on_end
        self.head: ResponseHead | None = None
        self.body = b""

    @property
    def is_crossed(self) -> bool:
        """Return whether the answer names another call."""
        if self.head is None:
            return False
        named = self.head.find_header(b"x-call-id")
        return named is not None and named != self._call_id

    def receive_head(self, head: ResponseHead) -> None:
        """Keep the head."""
        self.head = head

    def receive_body(self, data: bytes) -> None:
        """Keep the first part of the body, which names the call."""
        if not self.body:
            self.body = data

    def finish(self, result: AttemptResult) -> None:
        """Report the end."""
        self._on_end(self, result)


def name_outcome(receiver: CallReceiver, result: AttemptResult) -> str:
    """Return a word for what became of a call."""
    if receiver.is_crossed:
        return "crossed"
    if result.complete:
        return str(result.status)
    return result.error.name.lower() if result.error is not None else "unknown"


def plan_instants(rate: float, seconds: float, rng: random.Random) -> list[float]:
    """Return the offsets of the calls of a Poisson process of `rate` calls a second."""
    instants: list[float] = []
    offset = rng.expovariate(rate)
    while offset < seconds:
        instants.append(offset)
        offset += rng.expovariate(rate)
    return instants


class OpenLoad:
    """Sends each call when it is due, whatever became of the ones before it.

    The latency of a call counts from when it was due, so that a stall is not omitted.
    """

    def __init__(self, pool: UpstreamPool, shape: CallShape, instants: Sequence[float]) -> None:
        self._pool = pool
        self._shape = shape
        self._instants = instants
        self._loop = asyncio.get_event_loop()
        self._start = 0.0
        self._next = 0
        self._ended = 0
        self._latencies: list[float] = []
        self._report = LoadReport()
        self._done: Deferred[LoadReport] = Deferred()

    def run(self) -> "Deferred[LoadReport]":
        """Start, and return the report once all calls have ended."""
        self._start = read_clock()
        self._step()
        return self._done

    def _step(self) -> None:
        now = read_clock()
        while self._next < len(self._instants):
            due = self._start + self._instants[self._next]
            if due > now:
                self._wait(due - now)
                return
            self._send(due)
            self._next += 1

    def _wait(self, seconds: float) -> None:
        if seconds > SPIN_S:
            self._loop.call_later(seconds - SPIN_S, self._step)
        else:
            self._loop.call_soon(self._step)

    def _send(self, due: float) -> None:
        call_id = b"%d" % self._next

        def end(receiver: CallReceiver, result: AttemptResult) -> None:
            self._latencies.append(read_clock() - due)
            self._report.outcomes[name_outcome(receiver, result)] += 1
            self._ended += 1
            if self._ended == len(self._instants):
                self._finish()

        call = self._shape.make_call(call_id, self._loop.time())
        self._pool.send(call, CallReceiver(call_id, end))

    def _finish(self) -> None:
        report = self._report
        report.seconds = read_clock() - self._start
        for latency_s in self._latencies:
            report.histogram.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))
        self._done.callback(report)


class ClosedLoad:
    """Keeps `concurrency` calls under way for `seconds`, to find the most that can be served."""

    def __init__(
        self, pool: UpstreamPool, shape: CallShape, *, concurrency: int, seconds: float
    ) -> None:
        self._pool = pool
        self._shape = shape
        self._concurrency = concurrency
        self._seconds = seconds
        self._loop = asyncio.get_event_loop()
        self._running = 0
        self._sent = 0
        self._start = 0.0
        self._latencies: list[float] = []
        self._report = LoadReport()
        self._done: Deferred[LoadReport] = Deferred()

    def run(self) -> "Deferred[LoadReport]":
        """Start, and return the report once the time is over and all calls have ended."""
        self._start = read_clock()
        for _ in range(self._concurrency):
            self._running += 1
            self._send()
        return self._done

    def _send(self) -> None:
        sent_at = read_clock()
        self._sent += 1
        call_id = b"%d" % self._sent

        def end(receiver: CallReceiver, result: AttemptResult) -> None:
            now = read_clock()
            self._latencies.append(now - sent_at)
            self._report.outcomes[name_outcome(receiver, result)] += 1
            if now - self._start < self._seconds:
                self._send()
                return
            self._running -= 1
            if self._running == 0:
                self._finish()

        call = self._shape.make_call(call_id, self._loop.time())
        self._pool.send(call, CallReceiver(call_id, end))

    def _finish(self) -> None:
        report = self._report
        report.seconds = read_clock() - self._start
        for latency_s in self._latencies:
            report.histogram.record_value(max(1, int(latency_s * 1e6)))
        self._done.callback(report)


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", required=True, type=int)
@click.option("--concurrency", default=16)
@click.option("--seconds", default=5.0)
@click.option("--header", "headers", multiple=True, help="NAME:VALUE")
def main(
    *, host: str, port: int, concurrency: int, seconds: float, headers: tuple[str, ...]
) -> None:
    """Keep calls under way and print what was served as JSON."""
    fields = tuple(
        (name.encode(), value.encode())
        for name, _, value in (header.partition(":") for header in headers)
    )

    async def session() -> LoadReport:
        pool = UpstreamPool(Address(host=host, port=port), concurrency)
        load = ClosedLoad(pool, CallShape(headers=fields), concurrency=concurrency, seconds=seconds)
        return await load.run()

    report = run_session(session)
    summary = {
        "calls": report.calls,
        "seconds": report.seconds,
        "p50_ms": report.read_ms(50),
        "p99_ms": report.read_ms(99),
        "outcomes": dict(report.outcomes),
    }
    sys.stdout.write(json.dumps(summary) + "\n")


def read_clock() -> float:
    """Return the monotonic clock in seconds, finer than the milliseconds of the loop."""
    return time.perf_counter()


if __name__ == "__main__":
    main()
