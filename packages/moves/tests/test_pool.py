import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.moves.evidence import MoveEvidence
from corianderwall.moves.messages import CellReport, EvidenceReport
from corianderwall.moves.pool import EvidencePool
from corianderwall.moves.reporting import MAX_REPORT_BYTES, Reporter, choose_aggregators

ZONES = {"old-1": "z1"}


@pytest.fixture
def evidence(move):
    return MoveEvidence(move, ZONES)


def count_calls(pool):
    return sum(cell.calls for cell in pool.close_window().values())


def test_reports_that_are_lost_late_or_doubled_count_each_call_once(move, create_outcome):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, 2**32))
    def check(seed):
        rng = random.Random(seed)
        pool = EvidencePool("m1", "a1")
        recorded = counted = 0
        for incarnation in (1, 2):
            evidence = MoveEvidence(move, ZONES)
            reporter = Reporter("n1", incarnation, evidence)
            late: list[EvidenceReport] = []
            for second in range(20):
                for _ in range(rng.randrange(4)):
                    evidence.record(create_outcome(route=rng.choice("abc")))
                    recorded += 1
                late.extend(reporter.collect_reports(["a1"], second).values())
                rng.shuffle(late)
                while late and rng.random() < 0.6:
                    report = late[-1] if rng.random() < 0.3 else late.pop()
                    ack = pool.add_report(report)
                    if ack and rng.random() < 0.7:
                        reporter.handle_ack(ack)
                counted += count_calls(pool)
                assert counted <= recorded
            (last,) = reporter.collect_reports(["a1"], 100.0).values() or [None]
            if last:
                pool.add_report(last)
            counted += count_calls(pool)
            assert counted == recorded

    check()


def test_two_aggregators_each_hold_everything_once(evidence, create_outcome):
    pools = [EvidencePool("m1", name) for name in ("a1", "a2")]
    reporter = Reporter("n1", 1, evidence)
    for second in range(7):
        evidence.record(create_outcome())
        reports = reporter.collect_reports(["a1", "a2"], second)
        for pool in pools:
            if pool.aggregator in reports:
                reporter.handle_ack(pool.add_report(reports[pool.aggregator]))
    assert [count_calls(pool) for pool in pools] == [7, 7]


def test_a_new_aggregator_receives_the_evidence_from_the_start(evidence, create_outcome):
    reporter = Reporter("n1", 1, evidence)
    for second in range(5):
        evidence.record(create_outcome())
        report = reporter.collect_reports(["a1"], second)["a1"]
        reporter.handle_ack(EvidencePool("m1", "a1").add_report(report))
    pool = EvidencePool("m1", "a9")
    pool.add_report(reporter.collect_reports(["a9"], 5.0)["a9"])
    assert count_calls(pool) == 5


def test_an_urgent_report_does_not_wait(evidence, create_outcome):
    reporter = Reporter("n1", 1, evidence)
    evidence.record(create_outcome())
    assert reporter.collect_reports(["a1"], 0.0)
    evidence.record(create_outcome())
    assert not reporter.collect_reports(["a1"], 0.5)
    assert reporter.collect_reports(["a1"], 0.5, is_urgent=True)


def test_a_report_stays_within_its_size_limit_and_the_rest_follows(evidence, create_outcome):
    rng = random.Random(1)
    for _ in range(4000):
        evidence.record(
            create_outcome(
                version="v2",
                endpoint=f"a-rather-long-endpoint-name-{rng.randrange(40)}",
                route=f"a-rather-long-route-name-{rng.randrange(10)}",
                latency_s=rng.lognormvariate(-3, 2),
            )
        )
    reporter = Reporter("n1", 1, evidence)
    pool = EvidencePool("m1", "a1")
    for second in range(100):
        for report in reporter.collect_reports(["a1"], second).values():
            assert len(msgspec.msgpack.encode(report)) <= MAX_REPORT_BYTES
            reporter.handle_ack(pool.add_report(report))
    assert count_calls(pool) == 4000


@pytest.mark.parametrize(
    "cell",
    [
        CellReport(True, 0, 5, 0, 1, 0, 0, ()),
        CellReport(True, 0, 1, 0, 1, 2, 0, ()),
        CellReport(True, 0, 1, 0, 1, 0, 0, (64, 1)),
        CellReport(True, 0, 1, 0, 1, 0, 0, (3,)),
    ],
)
def test_a_malformed_cell_is_left_out(cell):
    pool = EvidencePool("m1", "a1")
    report = EvidenceReport(
        move_id="m1", node="n1", incarnation=1, sequence=1, names=("r", "e"), cells=(cell,)
    )
    pool.add_report(report)
    assert not pool.close_window()


def test_the_aggregators_of_a_move_depend_on_nothing_but_the_members():
    nodes = [f"n{index}" for index in range(50)]
    chosen = choose_aggregators("m1", nodes)
    assert chosen == choose_aggregators("m1", list(reversed(nodes)))
    remaining = [node for node in nodes if node != chosen[0]]
    assert choose_aggregators("m1", remaining)[0] == chosen[1]
