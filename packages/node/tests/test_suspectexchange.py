from random import Random

from corianderwall.node.suspectexchange import (
    MAX_RECORDS,
    QUERY_INTERVAL_S,
    SuspectExchange,
    SuspectNotice,
    SuspectQuery,
)
from corianderwall.traffic.suspects import QUARANTINE_CRASHES, Suspects


def make_exchange(suspects: Suspects, *peers: str) -> SuspectExchange:
    return SuspectExchange(suspects, lambda: list(peers), Random(1))


def quarantine(suspects: Suspects, fingerprint: str) -> None:
    for number in range(QUARANTINE_CRASHES):
        suspects.record_crash(f"i-{number}@1", [fingerprint], 0.0)


def test_a_change_is_sent_to_all_peers() -> None:
    suspects = Suspects()
    records = suspects.record_crash("i@1", ["f"], 0.0)
    messages = make_exchange(suspects, "n2", "n3").share(records)
    assert [each.peer for each in messages] == ["n2", "n3"]
    assert make_exchange(suspects, "n2").share(()) == []


def test_answered_requests_are_sent_together_with_the_next_tick() -> None:
    suspects = Suspects()
    exchange = make_exchange(suspects, "n2")
    exchange.share(suspects.record_crash("i@1", ["f", "g"], 0.0))
    for fingerprint in ("f", "g"):
        assert exchange.share(suspects.record_response(fingerprint, 1.0)) == []
    notices = [each.message for each in exchange.tick(1.0)]
    (notice,) = [each for each in notices if isinstance(each, SuspectNotice)]
    assert {record.fingerprint for record in notice.records} == {"f", "g"}


# Guards against a restart of a node after which such a request gets through there again.
def test_a_node_without_records_asks_for_them() -> None:
    known, fresh = Suspects(), Suspects()
    quarantine(known, "f")
    asking, asked = make_exchange(fresh, "n2"), make_exchange(known, "n1")
    (query,) = asking.tick(0.0)
    assert isinstance(query.message, SuspectQuery)
    (answer,) = asked.answer_query("n1", query.message, 0.0)
    assert isinstance(answer.message, SuspectNotice)
    asking.receive_notice(answer.message, 0.0)
    assert fresh.needs_trial("f")
    (again,) = asking.tick(2 * QUERY_INTERVAL_S)
    assert isinstance(again.message, SuspectQuery)
    assert asked.answer_query("n1", again.message, 0.0) == []


def test_a_node_without_peers_asks_as_soon_as_it_has_one() -> None:
    peers: list[str] = []
    exchange = SuspectExchange(Suspects(), lambda: peers, Random(1))
    assert exchange.tick(0.0) == []
    peers.append("n2")
    assert len(exchange.tick(0.1)) == 1
    assert exchange.tick(0.2) == []


def test_an_answer_is_limited_and_has_the_requests_in_quarantine() -> None:
    suspects = Suspects()
    quarantine(suspects, "f")
    for number in range(MAX_RECORDS + 10):
        suspects.record_crash("i-9@1", [f"g{number}"], 1.0)
    (answer,) = make_exchange(suspects, "n1").answer_query("n1", SuspectQuery(""), 1.0)
    assert isinstance(answer.message, SuspectNotice)
    assert len(answer.message.records) == MAX_RECORDS
    assert "f" in [record.fingerprint for record in answer.message.records]
