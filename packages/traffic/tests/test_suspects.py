import os
from random import Random

import pytest

from corianderwall.traffic.suspects import (
    MAX_CRASHES,
    MAX_SUSPECTS,
    QUARANTINE_CRASHES,
    QUARANTINES_S,
    RETENTION_S,
    SuspectRecord,
    Suspects,
    choose_for_trial,
)

MERGE_SEEDS = int(os.environ.get("MERGE_SEEDS", "50"))
"""Random histories that are merged; the long run by hand sets a hundred times as many."""


def make_start(number: int) -> str:
    return f"i-{number}@1"


def make_quarantined(*fingerprints: str, now: float = 0.0) -> Suspects:
    suspects = Suspects()
    for number in range(QUARANTINE_CRASHES):
        suspects.record_crash(make_start(number), fingerprints, now)
    return suspects


def test_a_request_is_quarantined_after_three_crashes() -> None:
    suspects = Suspects()
    for number in range(QUARANTINE_CRASHES):
        assert suspects.find_release("f", 1.0) is None
        suspects.record_crash(make_start(number), ["f"], 1.0)
    assert suspects.find_release("f", 1.0) == 1.0 + QUARANTINES_S[0]
    assert suspects.find_release("g", 1.0) is None


def test_one_crash_that_is_reported_again_counts_once() -> None:
    suspects = Suspects()
    for _ in range(QUARANTINE_CRASHES):
        suspects.merge(suspects.record_crash(make_start(1), ["f"], 1.0), 1.0)
    assert suspects.count_crashes("f") == 1


def test_a_complete_response_refutes_all_crashes_at_every_node() -> None:
    first, second = make_quarantined("f"), make_quarantined("f")
    late = second.list_records(0.0)
    second.merge(first.record_response("f", 5.0), 5.0)
    assert second.find_release("f", 5.0) is None
    second.merge(late, 5.0)
    assert second.count_crashes("f") == 0


def test_requests_beside_one_in_quarantine_are_not_suspected() -> None:
    suspects = make_quarantined("f")
    suspects.record_crash(make_start(9), ["f", "beside"], 1.0)
    assert suspects.count_crashes("f") == QUARANTINE_CRASHES + 1
    assert suspects.count_crashes("beside") == 0


def test_each_trial_begins_a_longer_quarantine() -> None:
    suspects = make_quarantined("f")
    now = 0.0
    for duration_s in (*QUARANTINES_S, QUARANTINES_S[-1]):
        assert suspects.find_release("f", now + duration_s - 1) == now + duration_s
        now += duration_s
        assert suspects.find_release("f", now) is None
        assert suspects.needs_trial("f")
        suspects.start_trial("f", now)


def test_a_trial_at_one_node_quarantines_the_request_at_the_others() -> None:
    first, second = make_quarantined("f"), make_quarantined("f")
    now = QUARANTINES_S[0]
    second.merge(first.start_trial("f", now), now)
    assert second.find_release("f", now) == now + QUARANTINES_S[1]


def test_suspects_are_forgotten_in_time() -> None:
    suspects = make_quarantined("f")
    suspects.record_crash(make_start(5), ["g"], 0.0)
    suspects.remove_expired(RETENTION_S)
    assert [record.fingerprint for record in suspects.list_records(0.0)] == ["f"]
    suspects.remove_expired(QUARANTINES_S[-1])
    assert suspects.is_empty
    assert suspects.compute_digest() == ""


def test_a_forgotten_suspect_is_not_learned_again_from_a_peer() -> None:
    suspects = make_quarantined("f")
    records = suspects.list_records(QUARANTINES_S[-1])
    other = Suspects()
    other.merge(records, QUARANTINES_S[-1])
    assert other.is_empty


# Guards against a memory that grows with each request that a caller makes up.
def test_the_number_of_suspects_is_limited_and_the_quarantined_ones_stay() -> None:
    suspects = make_quarantined("f")
    for number in range(MAX_SUSPECTS):
        running = [f"g{number}a", f"g{number}b"]
        suspects.record_crash(make_start(number), running, 1.0 + number)
    assert len(suspects.list_records(0.0)) == MAX_SUSPECTS
    assert suspects.needs_trial("f")


def test_only_what_was_learned_lately_is_listed() -> None:
    suspects = make_quarantined("f")
    suspects.merge(
        (SuspectRecord(fingerprint="g", crashes=("i-7@1",), refuted=(), trials=0, age_s=50.0),),
        60.0,
    )
    assert [record.fingerprint for record in suspects.list_records(60.0, since=55.0)] == ["g"]


@pytest.mark.parametrize("seed", range(MERGE_SEEDS))
def test_nodes_agree_whatever_the_order_of_their_messages(seed: int) -> None:
    random = Random(seed)
    nodes = [Suspects() for _ in range(3)]
    messages: list[tuple[SuspectRecord, ...]] = []
    for step in range(30):
        node, fingerprint = random.choice(nodes), f"f{random.randrange(3)}"
        event = random.randrange(4)
        if event <= 1:
            messages.append(
                node.record_crash(make_start(random.randrange(MAX_CRASHES)), [fingerprint], step)
            )
        elif event == 2:
            messages.append(node.record_response(fingerprint, step))
        elif node.needs_trial(fingerprint):
            messages.append(node.start_trial(fingerprint, step))
        if messages and random.random() < 0.5:
            random.choice(nodes).merge(random.choice(messages), step)
    for node in nodes:
        random.shuffle(messages)
        for message in messages:
            node.merge(message, 30.0)
    assert len({node.compute_digest() for node in nodes}) == 1


def test_one_owner_writes_a_quarantine_that_three_crashes_at_once_begin() -> None:
    owners = [Suspects() for _ in range(QUARANTINE_CRASHES)]
    messages = [
        owner.record_crash(make_start(number), ["f"], 0.0) for number, owner in enumerate(owners)
    ]
    for owner in owners:
        for message in messages:
            owner.merge(message, 0.0)
    assert [owner.unsaved for owner in owners].count({"f"}) == 1


def test_only_the_node_that_wrote_a_quarantine_deletes_it_when_it_expires() -> None:
    first, second = make_quarantined("f"), Suspects()
    second.merge(first.list_records(0.0), 0.0)
    assert first.take_unsaved(0.0)[1] is not None
    for node in (first, second):
        node.remove_expired(QUARANTINES_S[-1])
    assert (first.unsaved, second.unsaved) == ({"f"}, set())
    assert first.take_unsaved(0.0) == ("f", None)


def test_all_nodes_choose_the_same_endpoint_for_a_trial_and_one_for_each_request() -> None:
    names = [f"i-{number}" for number in range(8)]
    chosen = [choose_for_trial(f"f{number}", names) for number in range(50)]
    assert chosen == [choose_for_trial(f"f{number}", reversed(names)) for number in range(50)]
    assert len(set(chosen)) > 1
