import asyncio
import random

import pytest_twisted

from corianderwall.bench.load import CallShape, LoadReport, OpenLoad, plan_instants
from corianderwall.httpflow.attempt import AttemptResult, ResponseHead
from corianderwall.model.errors import ErrorCode
from corianderwall.model.verdict import Verdict


class StallingPool:
    """Answers nothing for `stall_s`, then all calls at once; the third names another call."""

    def __init__(self, stall_s: float) -> None:
        self._stall_s = stall_s
        self._sent = 0

    def send(self, call, receiver) -> None:
        self._sent += 1
        call_id = b"other" if self._sent == 3 else dict(call.headers)[b"x-call-id"]
        head = ResponseHead(200, [(b"x-call-id", call_id)], 0)
        asyncio.get_event_loop().call_later(self._stall_s, self._respond, receiver, head)

    def _respond(self, receiver, head) -> None:
        receiver.receive_head(head)
        result = AttemptResult(Verdict.RAN, status=200, head=head, complete=True)
        if self._sent == 4:
            result = AttemptResult(Verdict.MAY_HAVE_RUN, error=ErrorCode.UPSTREAM_LOST)
        receiver.finish(result)


def test_the_same_seed_plans_the_same_arrivals() -> None:
    first = plan_instants(100, 2.0, random.Random(3))
    assert first == plan_instants(100, 2.0, random.Random(3))
    assert first == sorted(first)
    assert 150 < len(first) < 250


@pytest_twisted.ensureDeferred
async def test_a_stall_counts_for_every_call_that_was_due_in_it() -> None:
    instants = [0.0, 0.01, 0.02]
    report = await OpenLoad(StallingPool(0.1), CallShape(), instants).run()
    assert report.calls == 3
    assert report.outcomes == {"200": 2, "crossed": 1}
    assert report.read_ms(0) >= 99


@pytest_twisted.ensureDeferred
async def test_a_sender_that_is_late_counts_from_when_calls_were_due() -> None:
    load = OpenLoad(StallingPool(0.0), CallShape(), [0.0, 0.001])

    def block() -> None:
        deadline = asyncio.get_event_loop().time() + 0.05
        while asyncio.get_event_loop().time() < deadline:
            pass

    done = load.run()
    block()
    report = await done
    assert report.read_ms(100) >= 40


def test_reports_add_up() -> None:
    total, part = LoadReport(), LoadReport()
    part.histogram.record_value(1000)
    part.outcomes["200"] += 1
    total.add(part)
    total.add(part)
    assert (total.calls, total.outcomes["200"]) == (2, 2)
