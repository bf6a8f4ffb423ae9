from hashlib import sha256

from corianderwall.mesh.teams import TeamTable, identify_caller, make_key_id
from corianderwall.model.resource import Snapshot, Team


def compute_digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def make_team(name: str, *keys: str, **fields: int) -> Team:
    return Team(name=name, key_digests=tuple(map(compute_digest, keys)), **fields)


def test_a_key_of_an_earlier_snapshot_stays_withdrawn_until_a_later_one_has_it() -> None:
    """Guards against a withdrawn key that is taken for a new one, and the reverse."""
    table = TeamTable.compile(Snapshot(teams=(make_team("a", "k1", "k2"),)))
    table = TeamTable.compile(Snapshot(teams=(make_team("a", "k2"),)), table)
    table = TeamTable.compile(Snapshot(teams=(make_team("a", "k2"), make_team("b"))), table)
    assert table.is_withdrawn(make_key_id(compute_digest("k1")))
    assert not table.is_withdrawn(make_key_id(compute_digest("k2")))
    table = TeamTable.compile(Snapshot(teams=(make_team("a", "k1"),)), table)
    assert not table.is_withdrawn(make_key_id(compute_digest("k1")))


def test_calls_go_on_if_a_snapshot_ends_the_use_of_keys() -> None:
    """Guards against waiting calls that are refused although nobody needs a key any more."""
    table = TeamTable.compile(Snapshot(teams=(make_team("a", "k1"),)))
    table = TeamTable.compile(Snapshot(), table)
    assert not table.is_active
    assert not table.is_withdrawn(make_key_id(compute_digest("k1")))


def test_a_team_never_shares_the_fingerprints_of_a_service() -> None:
    """Guards against a team named like a service that gets requests of its callers refused."""
    assert identify_caller("s", "") == "s"
    assert identify_caller("s", "t") == identify_caller("other", "t") != identify_caller("t", "")
