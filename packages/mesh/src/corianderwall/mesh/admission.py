"""Admission control for the local endpoint: decides which calls run, wait or are refused."""

import enum
from dataclasses import dataclass, field

from corianderwall.mesh.uplink import Uplink

MEAN_WEIGHT = 0.15
"""Weight of the newest call in the mean call time; a change shows within about ten calls."""
SHORTEST_CALL_S = 0.001
"""Call time assumed until a call has run at the endpoint."""
TIMELY_MARGIN = 1.3
"""Factor on the expected time of a call when checking whether it will meet its objective."""
RESIDUAL_PART = 0.3
"""Smallest remaining time assumed for a running call, as a fraction of its mean time."""
LINK_SLACK_S = 0.05
"""Time by which a response may be ready before the link is free, so that the link is not idle."""


class Admission(enum.Enum):
    """The decision on a call that is offered to the queue."""

    START = "start"
    WAIT = "wait"
    FULL = "full"
    LATE = "late"


@dataclass(eq=False, slots=True)
class Ticket:
    """A call in the queue; instants are monotonic seconds, a lower `rank` starts first.

    A response after `due` misses the latency objective, and one after `deadline` is useless.
    `sending_s` is how long a big response will occupy the host's link, 0 for a small response.
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

    A call with a big response starts only when `uplink` will be free to send the response, which
    would otherwise wait there. Meanwhile calls with small responses may overtake it.
    """

    slots: int
    uplink: Uplink = field(default_factory=Uplink)
    running: set[Ticket] = field(default_factory=set)
    waiting: list[Ticket] = field(default_factory=list)
    means_s: dict[str, float] = field(default_factory=dict)
    mean_s: float = 0.0
    _orders: int = 0

    def offer(self, ticket: Ticket, now: float, *, may_wait: bool) -> Admission:
        """Start, queue or refuse a call.

        A call may wait while it is expected to meet its objective. A call that will miss it waits
        only if no timely call is waiting: otherwise late calls would make all calls late.
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
        """Free the slot of a started call; update the mean call times only if the call ran."""
        self.running.discard(ticket)
        if not ran:
            return
        took_s = now - ticket.started
        kept = self.means_s.get(ticket.route)
        self.means_s[ticket.route] = took_s if kept is None else _blend(kept, took_s)
        self.mean_s = took_s if not self.mean_s else _blend(self.mean_s, took_s)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting call."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)

    def advance(self, now: float) -> tuple[list[Ticket], list[Ticket]]:
        """Start waiting calls while slots are free and drop calls that would miss their deadline.

        Return the started calls and the dropped calls.
        """
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
        """Remove all waiting calls and return them."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def estimate_call(self, route: str) -> float:
        """Return the expected time of a call on `route` at the endpoint, in seconds."""
        return self.means_s.get(route) or self.mean_s or SHORTEST_CALL_S

    def estimate_wait(self, now: float, rank: int) -> float:
        """Return the seconds until a new call of `rank` would get a slot."""
        if len(self.running) < self.slots and not self.waiting:
            return 0.0
        ahead = sum(self.estimate_call(t.route) for t in self.waiting if t.rank <= rank)
        residual = sum(self._estimate_residual(ticket, now) for ticket in self.running)
        return (ahead + residual) / max(1, self.slots)

    def estimate_start(self, ticket: Ticket, now: float) -> float:
        """Return the seconds until a new call could start, given the slots and the link."""
        wait_s = self.estimate_wait(now, ticket.rank)
        if not ticket.sending_s:
            return wait_s
        ahead_s = sum(t.sending_s for t in self.waiting if t.rank <= ticket.rank)
        link_s = self.estimate_link_wait(now) + ahead_s - self.estimate_call(ticket.route)
        return max(wait_s, link_s)

    def estimate_link_wait(self, now: float) -> float:
        """Return the seconds until the link has sent all responses, also those of running calls."""
        unsent_s = self.uplink.estimate_wait(now)
        return unsent_s + sum(ticket.sending_s for ticket in self.running)

    def _has_room(self, ticket: Ticket, now: float) -> bool:
        """Return whether a new call may start now; calls that wait for the link don't block it."""
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
