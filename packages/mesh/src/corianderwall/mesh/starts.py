"""Decides which start of an endpoint is the current one, without trust in the time of day."""

from dataclasses import dataclass

MIN_REPORTS = 2
"""Announcements in a row by which a start is told from a late one of an earlier start."""
REUSE_DELAY_S = 8.0
"""Time for which a start must announce itself if a start of the same id that looks later has left.
Announcements arrive seconds late at most, and a sound endpoint must be used within 15 s."""
MAX_STARTS = 32
"""Starts that are remembered; a host sees a few of them in an hour."""


@dataclass(frozen=True, slots=True)
class Start:
    """A start of the endpoint `id`, as it announces itself."""

    id: str
    born_unix_ms: int


class SequenceFilter:
    """Tells new announcements of one start from late ones by their sequence numbers.

    The sequence may have been raised by a forged announcement. Two lower ones in rising order show
    how far the start has really counted.
    """

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self._late: int | None = None

    def accept(self, sequence: int) -> bool:
        """Return whether an announcement is a new one."""
        if sequence <= self.sequence and (self._late is None or sequence <= self._late):
            self._late = sequence
            return False
        self.sequence = sequence
        self._late = None
        return True


@dataclass(slots=True)
class _Claim:
    since: float
    sequence: int
    reports: int = 1


class StartClaims:
    """The starts that announce themselves while another one is current.

    A claim ends when the current start announces itself. Instants are monotonic seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._claims: dict[Start, _Claim] = {}
        self._retired: dict[Start, None] = {}

    def clear(self) -> None:
        """End all claims, as the current start has announced itself."""
        self._claims.clear()

    def retire(self, start: Start) -> None:
        """Record that another start has replaced `start`, whatever the two say of their age."""
        self._retired.pop(start, None)
        self._retired[start] = None
        while len(self._retired) > MAX_STARTS:
            del self._retired[next(iter(self._retired))]

    def reinstate(self) -> None:
        """Forget which starts were replaced, since the current one has turned out to be false."""
        self._retired.clear()

    def restore(self, start: Start) -> None:
        """Record that `start` is the current one."""
        self._retired.pop(start, None)

    def is_retired(self, start: Start) -> bool:
        """Return whether `start` has been replaced."""
        return start in self._retired

    def is_claimed(self, start: Start) -> bool:
        """Return whether `start` has announced itself after the current one did."""
        return start in self._claims

    def add(self, start: Start, sequence: int, now: float, *, after_leave: bool) -> bool:
        """Record an announcement; return whether `start` has shown that it is the current one.

        `after_leave` is set if a start of the same id has left that may be this one.
        """
        claim = self._claims.get(start)
        if claim is None:
            if len(self._claims) >= MAX_STARTS:
                self._claims.clear()
            self._claims[start] = _Claim(now, sequence)
            return False
        if sequence > claim.sequence:
            claim.sequence = sequence
            claim.reports += 1
        needed_s = REUSE_DELAY_S if after_leave else self._interval_s / 2
        return claim.reports >= MIN_REPORTS and now - claim.since >= needed_s


@dataclass(frozen=True, slots=True)
class KeptLeave:
    """A leave of all starts until `until_unix_ms`, and of the start `born_unix_ms` for certain."""

    until_unix_ms: int
    born_unix_ms: int | None


class KeptLeaves:
    """The leaves of the endpoints at this host, by their ids."""

    def __init__(self) -> None:
        self._leaves: dict[str, KeptLeave] = {}
        self._exempt: dict[Start, None] = {}

    def add(self, endpoint: str, until_unix_ms: int, *, exact: bool) -> None:
        """Keep a leave of all starts until that time; it names the last of them if it is `exact`.

        Of the starts that leaves of an endpoint have named, the latest one is kept.
        """
        former = self._leaves.pop(endpoint, KeptLeave(-1, None))
        born_unix_ms = former.born_unix_ms
        if exact:
            self._exempt.pop(Start(endpoint, until_unix_ms), None)
            born_unix_ms = max(until_unix_ms, born_unix_ms or 0)
        newest = max(former.until_unix_ms, until_unix_ms)
        self._leaves[endpoint] = KeptLeave(newest, born_unix_ms)
        while len(self._leaves) > 2 * MAX_STARTS:
            del self._leaves[next(iter(self._leaves))]

    def get(self, endpoint: str) -> KeptLeave | None:
        """Return the leave of `endpoint`."""
        return self._leaves.get(endpoint)

    def exempt(self, start: Start) -> None:
        """Record that the leave was not that of `start`, which goes on announcing itself."""
        self._exempt[start] = None
        while len(self._exempt) > MAX_STARTS:
            del self._exempt[next(iter(self._exempt))]

    def covers(self, start: Start) -> bool:
        """Return whether `start` has left, for all that is known."""
        leave = self._leaves.get(start.id)
        if leave is None or start in self._exempt:
            return False
        return start.born_unix_ms <= leave.until_unix_ms

    def is_certain(self, start: Start) -> bool:
        """Return whether it is certain that `start` has left if a leave covers it.

        A start that looks earlier than the one that left may be a later one, after a step of the
        clock.
        """
        leave = self._leaves.get(start.id)
        return leave is not None and start.born_unix_ms == leave.born_unix_ms


class StartOrder:
    """Gives each start of an id a time of birth later than those of the starts before it."""

    def __init__(self) -> None:
        self._last: dict[str, int] = {}

    def assign(self, start: Start) -> int:
        """Return the time of birth by which other nodes compare `start`, in Unix milliseconds."""
        last = self._last.get(start.id)
        born_unix_ms = start.born_unix_ms
        if last is not None and born_unix_ms <= last:
            born_unix_ms = last + 1
        self.record(start.id, born_unix_ms)
        return born_unix_ms

    def record(self, endpoint: str, born_unix_ms: int) -> None:
        """Record a time of birth that other nodes know."""
        last = self._last.pop(endpoint, born_unix_ms)
        self._last[endpoint] = max(born_unix_ms, last)
        while len(self._last) > MAX_STARTS:
            del self._last[next(iter(self._last))]
