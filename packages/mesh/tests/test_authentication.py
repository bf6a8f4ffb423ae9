from hashlib import sha256

import pytest

from corianderwall.httpflow.flow import Headers
from corianderwall.mesh.authentication import ANONYMOUS, Authenticator, Denial, Identity
from corianderwall.mesh.settings import HeaderNames
from corianderwall.mesh.teams import NO_TEAMS, TeamTable
from corianderwall.model.resource import Snapshot, Team

TEAM = Team(name="t", key_digests=(sha256(b"k2").hexdigest(),))
FORMER = Team(name="t", key_digests=(sha256(b"k1").hexdigest(),))
TEAMS = TeamTable.compile(
    Snapshot(teams=(TEAM,)), TeamTable.compile(Snapshot(version=1, teams=(FORMER,)))
)


def make_headers(*values: bytes) -> Headers:
    return [(b"authorization", value) for value in values]


def make_authenticator(
    names: HeaderNames, *, fresh: bool = True, teams: TeamTable = TEAMS
) -> Authenticator:
    return Authenticator(names, lambda: teams, lambda: fresh)


@pytest.mark.parametrize(
    ("values", "fresh", "stale"),
    [
        ((b"Bearer k3",), Denial.UNKNOWN_KEY, Denial.MAYBE_BEHIND),
        ((), Denial.NO_KEY, Denial.MAYBE_BEHIND),
        ((b"Basic k2",), Denial.NO_KEY, Denial.MAYBE_BEHIND),
        ((b"Bearer k2", b"Bearer k3"), Denial.NO_KEY, Denial.MAYBE_BEHIND),
        ((b"Bearer k1",), Denial.WITHDRAWN_KEY, Denial.WITHDRAWN_KEY),
    ],
)
def test_a_node_that_may_be_behind_denies_withdrawn_keys_only(
    header_names: HeaderNames, values: tuple[bytes, ...], fresh: Denial, stale: Denial
) -> None:
    """Guards against a host behind that denies a key or a public route that is new."""
    headers = make_headers(*values)
    for is_fresh, expected in ((True, fresh), (False, stale)):
        authenticator = make_authenticator(header_names, fresh=is_fresh)
        assert authenticator.check(headers, public=False, nested=False) is expected
        assert authenticator.check(headers, public=True, nested=False) == ANONYMOUS
        # Endpoints hold no key, so a call with one is not a nested call, whatever its id says.
        nested = authenticator.check(headers, public=False, nested=True)
        assert nested == (expected if headers else ANONYMOUS)


def test_a_valid_key_names_its_team_and_the_record_of_it_has_no_key(
    header_names: HeaderNames,
) -> None:
    """Guards against a scheme in other letters that is denied, and a key that is kept."""
    authenticator = make_authenticator(header_names, fresh=False)
    headers = make_headers(b"bearer  k2 ")
    identity = authenticator.check(headers, public=False, nested=False)
    assert isinstance(identity, Identity) and identity.team is TEAM and identity.key_id
    assert "k2" not in repr(identity)
    # Without a key id, its withdrawal does not end a call that needs no key.
    assert authenticator.check(headers, public=True, nested=False) == Identity(TEAM)


def test_headers_pass_unchanged_without_teams(header_names: HeaderNames) -> None:
    """Guards against an earlier deployment whose endpoints get other headers than before."""
    headers = [*make_headers(b"Basic x"), (header_names.team, b"mine")]
    authenticator = make_authenticator(header_names, fresh=False, teams=NO_TEAMS)
    assert authenticator.check(headers, public=False, nested=False) == ANONYMOUS
    assert authenticator.strip(headers) == headers
    assert make_authenticator(header_names).strip(headers) == []
