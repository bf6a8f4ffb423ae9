"""An owner's account of the leases granted to one holder and of the calls that may run on them."""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantRecord:
    """One grant; all calls that it allows have ended by `all_ended_at`."""

    serial: int
    count: int
    all_ended_at: float


class LeaseAccount:
    """The grants to one session of a holder that may still be in use.

    The largest grant counts until the holder confirms that it has applied a newer one.
    """

    __slots__ = (
        "_grants",
        "all_ended_at",
        "charged",
        "in_use",
        "is_local",
        "last_serial",
        "node",
        "wanted",
    )

    def __init__(self, node: str, *, is_local: bool) -> None:
        self.node = node
        self.is_local = is_local
        self.wanted = 0
        self.in_use = 0
        self.charged = 0
        self.last_serial = -1
        self.all_ended_at = float("-inf")
        self._grants: deque[GrantRecord] = deque()

    @property
    def newest_count(self) -> int:
        """The number of leases in the newest grant."""
        return self._grants[-1].count if self._grants else 0

    def count_charge(self, now: float) -> int:
        """Return the maximum number of calls that may be running on this holder's leases."""
        while self._grants and self._grants[0].all_ended_at <= now:
            self._grants.popleft()
        if self.all_ended_at <= now:
            return 0
        granted = max((grant.count for grant in self._grants), default=0)
        return max(granted, self.in_use)

    def update_charge(self, now: float) -> int:
        """Update `charged` and return its change; the passing of time can only lower it."""
        change = self.count_charge(now) - self.charged
        self.charged += change
        return change

    def confirm(self, applied_serial: int, in_use: int) -> None:
        """Drop the grants that the holder has replaced; its running calls still count."""
        while self._grants and self._grants[0].serial < applied_serial:
            self._grants.popleft()
        self.in_use = in_use

    def record_grant(self, serial: int, count: int, all_ended_at: float) -> None:
        """Record a grant before it is sent."""
        self._grants.append(GrantRecord(serial, count, all_ended_at))
        self.all_ended_at = max(self.all_ended_at, all_ended_at)
