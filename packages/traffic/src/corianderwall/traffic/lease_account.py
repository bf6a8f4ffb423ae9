"""An owner's account of the leases granted to one holder and of the calls that may run on them."""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """One grant; all calls that it allows have ended by `settled_at`."""

    serial: int
    count: int
    settled_at: float


class LeaseAccount:
    """The grants to one session of a holder that may still be in use.

    The largest grant counts until the holder confirms that it has applied a newer one.
    """

    __slots__ = (
        "_grants",
        "counted",
        "in_use",
        "is_local",
        "last_serial",
        "node",
        "settled_at",
        "wanted",
    )

    def __init__(self, node: str, *, is_local: bool) -> None:
        self.node = node
        self.is_local = is_local
        self.wanted = 0
        self.in_use = 0
        self.counted = 0
        self.last_serial = -1
        self.settled_at = float("-inf")
        self._grants: deque[GrantRecord] = deque()

    @property
    def current(self) -> int:
        """The number of leases in the newest grant."""
        return self._grants[-1].count if self._grants else 0

    def count_charge(self, now: float) -> int:
        """Return the maximum number of calls that may be running on this holder's leases."""
        while self._grants and self._grants[0].settled_at <= now:
            self._grants.popleft()
        if self.settled_at <= now:
            return 0
        granted = max((grant.count for grant in self._grants), default=0)
        return max(granted, self.in_use)

    def recount(self, now: float) -> int:
        """Update `counted` and return its change; the passing of time can only lower it."""
        change = self.count_charge(now) - self.counted
        self.counted += change
        return change

    def confirm(self, applied_serial: int, in_use: int) -> None:
        """Drop the grants that the holder has replaced; its running calls still count."""
        while self._grants and self._grants[0].serial < applied_serial:
            self._grants.popleft()
        self.in_use = in_use

    def grant(self, serial: int, count: int, settled_at: float) -> None:
        """Record a grant before it is sent."""
        self._grants.append(GrantRecord(serial, count, settled_at))
        self.settled_at = max(self.settled_at, settled_at)
