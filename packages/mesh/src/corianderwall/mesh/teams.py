"""The teams of a snapshot by the digests of their keys, and the keys withdrawn before it."""

from collections.abc import Mapping
from dataclasses import dataclass

from corianderwall.model.resource import Snapshot, Team

KEY_ID_LENGTH = 16
"""Hexadecimal digits of a key's digest that name the key between nodes; 64 bits don't collide."""
MAX_WITHDRAWN = 10_000
"""Withdrawn keys that are remembered, about 1 MB; the oldest are forgotten first."""
TEAM_CALLER_PREFIX = "team:"
"""Precedes a team in a fingerprint, so that it never equals a service of the same name."""


@dataclass(frozen=True, slots=True)
class TeamTable:
    """The teams of one snapshot; it is active if there is any.

    `withdrawn` holds the digests that an earlier snapshot of this process had and this one lacks,
    in the order in which they were withdrawn.
    """

    by_name: Mapping[str, Team]
    by_digest: Mapping[str, Team]
    withdrawn: tuple[str, ...] = ()
    withdrawn_ids: frozenset[str] = frozenset()
    default_weight: float = 1.0

    @classmethod
    def compile(cls, snapshot: Snapshot, former: "TeamTable | None" = None) -> "TeamTable":
        """Return the table of `snapshot`, which replaces `former`."""
        by_digest = {digest: team for team in snapshot.teams for digest in team.key_digests}
        withdrawn: tuple[str, ...] = ()
        if former is not None:
            known = (*former.withdrawn, *former.by_digest)
            withdrawn = tuple(key for key in known if key not in by_digest)[-MAX_WITHDRAWN:]
        rates = [team.rate_per_s for team in snapshot.teams if team.rate_per_s > 0]
        return cls(
            by_name={team.name: team for team in snapshot.teams},
            by_digest=by_digest,
            withdrawn=withdrawn,
            withdrawn_ids=frozenset(map(make_key_id, withdrawn)),
            default_weight=sum(rates) / len(rates) if rates else 1.0,
        )

    @property
    def is_active(self) -> bool:
        """Return whether callers need keys."""
        return bool(self.by_name)

    def weigh(self, team: str) -> float:
        """Return the share of a team relative to others: its quota, or the mean quota without one.

        Quotas follow the usual loads of the teams, which differ by a factor of hundreds.
        """
        found = self.by_name.get(team)
        return (
            found.rate_per_s if found is not None and found.rate_per_s > 0 else self.default_weight
        )

    def is_withdrawn(self, key_id: str) -> bool:
        """Return whether calls that were admitted with this key may no longer run."""
        return self.is_active and key_id in self.withdrawn_ids


NO_TEAMS = TeamTable({}, {})


def make_key_id(digest: str) -> str:
    """Return the name under which nodes refer to the key with this digest."""
    return digest[:KEY_ID_LENGTH]


def identify_caller(service: str, team: str) -> str:
    """Return the caller that fingerprints count: the team, or the service of a call without one."""
    return TEAM_CALLER_PREFIX + team if team else service


def make_wait_class(route: str, team: str) -> str:
    """Return which calls share the experience that an owner is too slow for them.

    Owners refuse calls of a team that uses much, while calls of other teams still get their turn.
    """
    return f"{route}\n{team}" if team else route
