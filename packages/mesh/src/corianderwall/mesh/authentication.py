"""Checks the keys of callers, and replaces their credentials by the name of their team."""

import enum
import hashlib
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred, succeed

from corianderwall.httpflow.flow import Headers
from corianderwall.mesh.settings import HeaderNames
from corianderwall.mesh.teams import TeamTable, make_key_id
from corianderwall.model.resource import Team

SCHEME = b"bearer"


@dataclass(frozen=True, slots=True)
class Identity:
    """Who makes a call: `team` is None for a call without a key, `key_id` then empty."""

    team: Team | None = None
    key_id: str = ""


ANONYMOUS = Identity()


class Denial(enum.Enum):
    """The reason why a call without a valid key is not admitted, as logs name it."""

    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    WITHDRAWN_KEY = "withdrawn key"
    MAYBE_BEHIND = "the configuration may be behind"


DENIAL_STATUSES = {
    Denial.NO_KEY: 401,
    Denial.UNKNOWN_KEY: 401,
    Denial.WITHDRAWN_KEY: 401,
    Denial.MAYBE_BEHIND: 503,
}


class Authenticator:
    """Decides on calls by the active table; `is_fresh` tells whether a newer one is ruled out."""

    def __init__(
        self,
        headers: HeaderNames,
        read_teams: Callable[[], TeamTable],
        is_fresh: Callable[[], bool],
    ) -> None:
        self._headers = headers
        self._read_teams = read_teams
        self._is_fresh = is_fresh
        self.request_confirmation: Callable[[], Deferred[None]] = lambda: succeed(None)
        self.counts: dict[str, int] = {}

    @property
    def is_active(self) -> bool:
        """Return whether callers need keys."""
        return self._read_teams().is_active

    async def authenticate(
        self, headers: Headers, *, public: bool, nested: bool
    ) -> Identity | Denial:
        """Check a call, and ask leaders first if its denial depends on the newest version."""
        result = self.check(headers, public=public, nested=nested)
        if result is Denial.MAYBE_BEHIND:
            await self.request_confirmation()
            result = self.check(headers, public=public, nested=nested)
        self._count(result)
        return result

    def check(self, headers: Headers, *, public: bool, nested: bool) -> Identity | Denial:
        """Return who makes a call, or why it is not admitted.

        Nested calls carry no key; the call that makes them has been admitted. A node whose
        configuration may be behind does not deny what a newer one may allow.
        """
        if not self.is_active or (nested and not self._has_credentials(headers)):
            return ANONYMOUS
        result = self._resolve(headers)
        if isinstance(result, Denial):
            if public:
                return ANONYMOUS
            if result is not Denial.WITHDRAWN_KEY and not self._is_fresh():
                return Denial.MAYBE_BEHIND
        elif public:
            # The call needs no key, so it also goes on if the key is withdrawn meanwhile.
            return Identity(result.team)
        return result

    def _has_credentials(self, headers: Headers) -> bool:
        """Return whether a request carries a key; endpoints hold none for their nested calls."""
        return any(name == self._headers.authorization for name, _ in headers)

    def _count(self, result: Identity | Denial) -> None:
        name = "admitted"
        if isinstance(result, Denial):
            name = result.value
        elif result.team is None:
            name = "anonymous"
        self.counts[name] = self.counts.get(name, 0) + 1

    def is_withdrawn(self, key_id: str) -> bool:
        """Return whether the key of an admitted call has been withdrawn since."""
        return bool(key_id) and self._read_teams().is_withdrawn(key_id)

    def strip(self, headers: Headers) -> Headers:
        """Return the headers of a caller without its key and without a forged team."""
        return replace_credentials(headers, self._headers) if self.is_active else headers

    def _resolve(self, headers: Headers) -> Identity | Denial:
        digest = _find_digest(headers, self._headers.authorization)
        if digest is None:
            return Denial.NO_KEY
        teams = self._read_teams()
        team = teams.by_digest.get(digest)
        if team is not None:
            return Identity(team, make_key_id(digest))
        if make_key_id(digest) in teams.withdrawn_ids:
            return Denial.WITHDRAWN_KEY
        return Denial.UNKNOWN_KEY


def replace_credentials(headers: Headers, names: HeaderNames, team: str = "") -> Headers:
    """Return `headers` without a key, and with `team` in place of any other team."""
    own = (names.authorization, names.team)
    kept = [header for header in headers if header[0] not in own]
    return [*kept, (names.team, team.encode())] if team else kept


def _find_digest(headers: Headers, name: bytes) -> str | None:
    """Return the digest of the key, None unless there is exactly one.

    Two different keys could be read differently here and by what logs or forwards the request.
    """
    values = [value for found, value in headers if found == name]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(b" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        return None
    return hashlib.sha256(key).hexdigest()
