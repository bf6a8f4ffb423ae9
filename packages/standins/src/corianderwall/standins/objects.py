"""The state of the stand-in platform: objects with revisions, pending watches, rate limits."""

from dataclasses import dataclass, field

from twisted.internet.defer import Deferred


class RevisionMismatch(Exception):  # noqa: N818
    """The object's revision is not the expected one."""


class ObjectTable:
    """Objects by key; one counter numbers all writes, so no revision is used twice in an era."""

    def __init__(self) -> None:
        self.era = 0
        self._values: dict[str, bytes] = {}
        self._revisions: dict[str, int] = {}
        self._last_revision = 0

    def take_copy(self) -> "ObjectTable":
        """Return a copy for `restore_copy`."""
        copy = ObjectTable()
        copy._values, copy._revisions = dict(self._values), dict(self._revisions)
        copy._last_revision = self._last_revision
        return copy

    def restore_copy(self, copy: "ObjectTable") -> None:
        """Start the next era with an earlier copy; its later revisions are given out again."""
        self.era += 1
        self._values, self._revisions = dict(copy._values), dict(copy._revisions)
        self._last_revision = copy._last_revision

    def read_revision(self, key: str) -> int:
        """Return the revision of the object, or 0 if there is none."""
        return self._revisions.get(key, 0)

    def read_value(self, key: str) -> bytes:
        """Return the value of an object that exists."""
        return self._values[key]

    def write(self, key: str, value: bytes, expected_revision: int) -> int:
        """Write and return the new revision, or raise `RevisionMismatch`."""
        self._check_revision(key, expected_revision)
        self._last_revision += 1
        self._values[key] = value
        self._revisions[key] = self._last_revision
        return self._last_revision

    def delete(self, key: str, expected_revision: int) -> None:
        """Delete an object that exists, or raise `RevisionMismatch`."""
        if key not in self._values:
            raise RevisionMismatch(key)
        self._check_revision(key, expected_revision)
        del self._values[key]
        del self._revisions[key]

    def list_keys(self, prefix: str) -> list[str]:
        """Return the sorted keys that begin with `prefix`."""
        return sorted(key for key in self._values if key.startswith(prefix))

    def _check_revision(self, key: str, expected_revision: int) -> None:
        if self.read_revision(key) != expected_revision:
            raise RevisionMismatch(key)


class RateLimiter:
    """Token bucket that holds at most the calls of one second."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated_s: float | None = None

    def admit(self, now: float, rate_per_s: float) -> bool:
        """Take a token for one call; return False if none is left."""
        if self._updated_s is None:
            self._tokens = rate_per_s
        else:
            self._tokens += (now - self._updated_s) * rate_per_s
        self._tokens = min(self._tokens, max(rate_per_s, 1.0))
        self._updated_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(eq=False, slots=True)
class Waiter:
    """A watch that waits for a revision above `after`."""

    key: str
    after: int
    fired: "Deferred[None]" = field(default_factory=Deferred)


class KeyWaiters:
    """The pending watches by key."""

    def __init__(self) -> None:
        self._by_key: dict[str, list[Waiter]] = {}

    def add(self, key: str, after: int) -> Waiter:
        """Return a waiter whose `fired` fires once the revision is above `after`."""
        waiter = Waiter(key, after)
        self._by_key.setdefault(key, []).append(waiter)
        return waiter

    def notify(self, key: str, revision: int) -> None:
        """Release the waiters that wait for this revision or an earlier one."""
        for waiter in list(self._by_key.get(key, ())):
            if revision > waiter.after:
                self.release(waiter)

    def release_all(self) -> None:
        """Release all waiters."""
        for waiters in list(self._by_key.values()):
            for waiter in list(waiters):
                self.release(waiter)

    def release(self, waiter: Waiter) -> None:
        """Fire the waiter and remove it; a second release has no effect."""
        waiters = self._by_key.get(waiter.key, [])
        if waiter not in waiters:
            return
        waiters.remove(waiter)
        if not waiters:
            del self._by_key[waiter.key]
        waiter.fired.callback(None)
