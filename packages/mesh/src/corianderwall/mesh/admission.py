"""Decides which calls run at the endpoint beside this node, which wait and which are refused."""

import enum
from dataclasses import dataclass, field

from corianderwall.mesh.uplink import Uplink

MEAN_WEIGHT = 0.15
"""Weight of the newest call in the mean time of a route; follows a change within ten calls."""
SHORTEST_CALL_S = 0.001
"""Taken for the time of a call of a route that has not been seen yet."""
TIMELY_MARGIN = 1.3
"""Factor on the mean time of a call when it is judged whether it will be in time."""
RESIDUAL_PART = 0.3
"""Least part of its mean time that a running call is taken to need still."""
LINK_SLACK_S = 0.05
"""Time by which an answer may be ready before the link is free for it, so that the link is used."""


class Admission(enum.Enum):
    """What becomes of a call that is offered."""

    START = "start"
    WAIT = "wait"
    FULL = "full"
    LATE = "late"


@dataclass(eq=False, slots=True)
class Ticket:
    """One call at the owner; instants are monotonic seconds, a lower `rank` starts first.

    An answer after `due` is late, one after `deadline` is of no use. `sending_s` is how long a big
    answer will occupy the host's link, 0 for one that is short.
    """

    route: str
    rank: int
    due: float
    deadline: float
    sending_s: float = 0.0
    order: int = 0
    started: float = 0.0


@dataclass(slots=True)
class AdmissionQueue:
    """A queue in front of `slots` slots: timely calls first, then by rank and due time.

    A call with a big answer does not start before `uplink` can take its answer: the answer would
    only wait there, and calls with short answers go ahead meanwhile.
    """

    slots: int
    uplink: Uplink = field(default_factory=Uplink)
    running: set[Ticket] = field(default_factory=set)
    waiting: list[Ticket] = field(default_factory=list)
    means_s: dict[str, float] = field(default_factory=dict)
    mean_s: float = 0.0
    _orders: int = 0

    def offer(self, ticket: Ticket, now: float, *, may_wait: bool) -> Admission:
        """Take a call or refuse it; one that is started or waits is in the queue's charge.

        A call waits while it is expected to be in time. One that will be late waits only where
        nothing that can be in time does: otherwise the late ones would make all calls late.
        """
        if self._estimate_end(ticket, now) > ticket.deadline:
            return Admission.LATE
        if self._has_room(ticket, now):
            self._start(ticket, now)
            return Admission.START
        if not may_wait:
            return Admission.FULL
        start = now + self.estimate_start(ticket, now)
        if not self._is_timely(ticket, start):
            if any(self._is_timely(waiting, now) for waiting in self.waiting):
                return Admission.LATE
            if self._estimate_end(ticket, start) > ticket.deadline:
                return Admission.LATE
        self._orders += 1
        ticket.order = self._orders
        self.waiting.append(ticket)
        return Admission.WAIT

    def finish(self, ticket: Ticket, now: float, *, ran: bool) -> None:
        """Free the slot of a started call; only one that ran tells about the time of calls."""
        self.running.discard(ticket)
        if not ran:
            return
        took_s = now - ticket.started
        kept = self.means_s.get(ticket.route)
        self.means_s[ticket.route] = took_s if kept is None else _blend(kept, took_s)
        self.mean_s = took_s if not self.mean_s else _blend(self.mean_s, took_s)

    def withdraw(self, ticket: Ticket) -> None:
        """Take a waiting call out."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)

    def advance(self, now: float) -> tuple[list[Ticket], list[Ticket]]:
        """Start what has room; return the started calls and those that can't end in time."""
        started: list[Ticket] = []
        late = [t for t in self.waiting if self._estimate_end(t, now) > t.deadline]
        for ticket in late:
            self.waiting.remove(ticket)
        while len(self.running) < self.slots:
            ready = [t for t in self.waiting if self._is_link_free(t, now)]
            if not ready:
                break
            ticket = min(ready, key=lambda waiting: self._read_order(waiting, now))
            self.waiting.remove(ticket)
            self._start(ticket, now)
            started.append(ticket)
        return started, late

    def clear_waiting(self) -> list[Ticket]:
        """Take all waiting calls out and return them."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def estimate_call(self, route: str) -> float:
        """Return the expected time of a call of `route` at the endpoint, in seconds."""
        return self.means_s.get(route) or self.mean_s or SHORTEST_CALL_S

    def estimate_wait(self, now: float, rank: int) -> float:
        """Return after how many seconds a new call of `rank` would start."""
        if len(self.running) < self.slots and not self.waiting:
            return 0.0
        ahead = sum(self.estimate_call(t.route) for t in self.waiting if t.rank <= rank)
        residual = sum(self._estimate_residual(ticket, now) for ticket in self.running)
        return (ahead + residual) / max(1, self.slots)

    def estimate_start(self, ticket: Ticket, now: float) -> float:
        """Return after how many seconds a new call would start, for want of a slot or the link."""
        wait_s = self.estimate_wait(now, ticket.rank)
        if not ticket.sending_s:
            return wait_s
        ahead_s = sum(t.sending_s for t in self.waiting if t.rank <= ticket.rank)
        link_s = self.estimate_link_wait(now) + ahead_s - self.estimate_call(ticket.route)
        return max(wait_s, link_s)

    def estimate_link_wait(self, now: float) -> float:
        """Return the seconds until the link has sent the answers of all that runs here."""
        unsent_s = self.uplink.estimate_wait(now)
        return unsent_s + sum(ticket.sending_s for ticket in self.running)

    def _has_room(self, ticket: Ticket, now: float) -> bool:
        """Return whether a new call may start at once, past those that wait for the link alone."""
        if len(self.running) >= self.slots or not self._is_link_free(ticket, now):
            return False
        return not any(
            ticket.sending_s or self._is_link_free(waiting, now) for waiting in self.waiting
        )

    def _is_link_free(self, ticket: Ticket, now: float) -> bool:
        if not ticket.sending_s:
            return True
        ready_s = self.estimate_call(ticket.route) + LINK_SLACK_S
        return self.estimate_link_wait(now) <= ready_s

    def _estimate_end(self, ticket: Ticket, start: float) -> float:
        return start + self.estimate_call(ticket.route) + ticket.sending_s

    def _estimate_residual(self, ticket: Ticket, now: float) -> float:
        mean_s = self.estimate_call(ticket.route)
        return max(mean_s - (now - ticket.started), mean_s * RESIDUAL_PART)

    def _is_timely(self, ticket: Ticket, start: float) -> bool:
        expected_s = self.estimate_call(ticket.route) + ticket.sending_s
        return start + TIMELY_MARGIN * expected_s <= ticket.due

    def _read_order(self, ticket: Ticket, now: float) -> tuple[bool, int, float, int]:
        late = ticket.rank > 0 and not self._is_timely(ticket, now)
        return late, ticket.rank, ticket.due, ticket.order

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started = now
        self.running.add(ticket)


def _blend(kept: float, newest: float) -> float:
    return kept + MEAN_WEIGHT * (newest - kept)
