from itertools import permutations
from typing import Any

import msgspec

from corianderwall.mesh.directory import GONE_RETENTION_S, RETRY_DELAY_MIN_S, Directory
from corianderwall.mesh.messages import EndpointState, Heartbeat, Tables


def list_ids(directory: Directory, service: str = "s") -> list[str]:
    return sorted(view.record.id for view in directory.list_ready(service))


def test_records_merge_to_the_same_state_in_any_order(make_node: Any, make_endpoint: Any) -> None:
    records = [
        make_endpoint(revision=1),
        make_endpoint(revision=5, state=EndpointState.DOWN),
        make_endpoint(revision=3, state=EndpointState.DRAINING),
        make_endpoint(revision=9),
    ]
    for order in permutations(records):
        directory = Directory(make_node())
        for record in order:
            directory.merge_endpoint(record, 0.0)
        assert directory.endpoints["i-1"].record.state is EndpointState.DRAINING


def test_a_new_start_under_the_same_id_returns_to_ready(
    directory: Directory, make_node: Any, make_endpoint: Any
) -> None:
    directory.merge_node(make_node("n1"), 0.0)
    directory.merge_endpoint(make_endpoint(state=EndpointState.GONE), 0.0)
    assert list_ids(directory) == []
    directory.merge_endpoint(make_endpoint(born=2), 0.0)
    assert list_ids(directory) == ["i-1"]
    directory.merge_endpoint(make_endpoint(born=1, revision=99), 0.0)
    assert directory.endpoints["i-1"].record.born_unix_ms == 2


def test_an_unresponsive_node_gets_no_call_until_it_has_sent_a_heartbeat(
    directory: Directory, make_node: Any, make_endpoint: Any
) -> None:
    directory.merge_node(make_node("n1"), 0.0)
    directory.merge_endpoint(make_endpoint(), 0.0)
    directory.record_failure("n1", 0.0)
    assert list_ids(directory) == []
    assert directory.list_due_retries(0.1) == []
    later = RETRY_DELAY_MIN_S + 0.1
    assert [peer.record.name for peer in directory.list_due_retries(later)] == ["n1"]
    assert list_ids(directory) == []
    heartbeat = Heartbeat(node=make_node("n1"), config_version=1, digest="", source_ok=True)
    directory.apply_heartbeat(heartbeat, later)
    assert list_ids(directory) == ["i-1"]


def test_a_leaving_node_gets_no_call_and_a_restarted_one_does(
    directory: Directory, make_node: Any, make_endpoint: Any
) -> None:
    directory.merge_endpoint(make_endpoint(), 0.0)
    leaving = make_node("n1")
    leaving = type(leaving)(
        name="n1", zone="a", host="127.0.0.1", port=1, incarnation=1, leaving=True
    )
    directory.merge_node(leaving, 0.0)
    directory.merge_node(make_node("n1"), 0.0)
    assert list_ids(directory) == []
    directory.merge_node(make_node("n1", incarnation=2), 0.0)
    assert list_ids(directory) == ["i-1"]


def test_an_endpoint_of_an_unknown_node_gets_no_calls(
    directory: Directory, make_endpoint: Any
) -> None:
    directory.merge_endpoint(make_endpoint(node="unknown"), 0.0)
    assert list_ids(directory) == []


def test_digests_are_equal_only_if_the_records_are(make_node: Any, make_endpoint: Any) -> None:
    one, other = Directory(make_node("x")), Directory(make_node("y"))
    for record in (make_endpoint("i-1"), make_endpoint("i-2")):
        one.merge_endpoint(record, 0.0)
    for record in (make_endpoint("i-2"), make_endpoint("i-1")):
        other.merge_endpoint(record, 5.0)
    assert one.compute_digest() == other.compute_digest()
    other.merge_endpoint(make_endpoint("i-2", state=EndpointState.DRAINING), 5.0)
    assert one.compute_digest() != other.compute_digest()
    other_tables = other.make_tables()
    one.merge(Tables(sender=other.own, endpoints=other_tables.endpoints), 6.0)
    assert one.compute_digest() == other.compute_digest()


def test_the_record_of_a_gone_endpoint_is_removed_after_the_retention_time(
    directory: Directory, make_endpoint: Any
) -> None:
    directory.merge_endpoint(make_endpoint(state=EndpointState.GONE), 0.0)
    directory.remove_expired(GONE_RETENTION_S - 1)
    assert "i-1" in directory.endpoints
    directory.remove_expired(GONE_RETENTION_S + 1)
    assert "i-1" not in directory.endpoints


# Guards against a node that counts as leaving for good, as its clock was set back at its restart.
def test_a_node_outdoes_the_record_of_an_earlier_process_with_a_clock_ahead(
    make_node: Any,
) -> None:
    peer = Directory(make_node("n2"))
    own = Directory(make_node("n1", incarnation=1000))
    former = msgspec.structs.replace(make_node("n1", incarnation=3000), leaving=True)
    peer.merge_node(former, 0.0)
    peer.merge_node(own.own, 0.0)
    assert not list(peer.list_live())
    own.merge(peer.make_tables(), 0.0)
    peer.merge_node(own.own, 1.0)
    assert [each.record.name for each in peer.list_live()] == ["n1"]
    # A stopping node stays so.
    own.own = msgspec.structs.replace(own.own, leaving=True)
    own.merge(Tables(sender=make_node("n2"), nodes=(own.own,)), 0.0)
    assert own.own.leaving
