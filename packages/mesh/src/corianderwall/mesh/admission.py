"""Admission control for the local endpoint: decides which calls run, wait or are refused."""

import enum
import math
from dataclasses import dataclass, field

from corianderwall.mesh.nestedlimit import NestedLimits
from corianderwall.mesh.pace import Pace
from corianderwall.mesh.ratelimit import RateLimit
from corianderwall.mesh.slowdown import Slowdown
from corianderwall.mesh.teamshares import ShareView, TeamShares
from corianderwall.mesh.uplink import Uplink

EWMA_WEIGHT = 0.15
"""Weight of the newest call in the mean call time; a change shows within about ten calls."""
DEFAULT_CALL_S = 0.001
"""Call time assumed until a call has run at the endpoint."""
TIMELY_MARGIN = 1.3
"""Factor on the expected time of a call when checking whether it will meet its objective."""
MIN_REMAINING_FRACTION = 0.3
"""Smallest remaining time assumed for a running call, as a fraction of its mean time."""
OVERLOAD_MEMORY_S = 1.0
"""Time for which the queue counts as overloaded after a timely call found no place in it."""
LINK_SLACK_S = 0.05
"""Time by which a response may be ready before the link is free, so that the link is not idle."""


class Admission(enum.Enum):
    """The decision on a call that is offered to the queue."""

    START = "start"
    WAIT = "wait"
    FULL = "full"
    LATE = "late"


@dataclass(eq=False, slots=True)
class QueuedCall:
    """A call that waits or runs; instants are monotonic seconds, a lower `rank` starts first.

    A response after `due` misses the latency objective, and one after `deadline` is useless.
    `sending_s` is how long a big response will occupy the host's link, 0 for a small response.
    `team` is empty for a call without one.
    `slowdown` is that of the endpoint's host when the call started, None if it was not known.
    """

    route: str
    rank: float
    due: float
    deadline: float
    sending_s: float = 0.0
    sequence: int = 0
    started: float = 0.0
    team: str = ""
    nested: bool = False
    slowdown: float | None = None

    @property
    def is_new(self) -> bool:
        """Return whether no running call depends on this one; rank 0 is for nested calls only."""
        return self.rank > 0 and not self.nested


@dataclass(slots=True)
class AdmissionQueue:
    """A queue in front of `slots` slots: timely calls first, then by rank and due time.

    Calls of teams are ordered by rank, then by the slot time that their team has used, and only
    then by whether they are timely.

    A call with a big response starts only when `uplink` will be free to send the response, which
    would otherwise wait there. Meanwhile calls with small responses may overtake it. No call starts
    beyond the rate `limit` that the endpoint has named, beyond its `pace` while it may be cold, or
    while `nested_limits` expect its nested calls to be refused. Call times are kept as they are at
    the host's usual speed when the endpoint is warm, and multiplied by its `slowdown` and the
    time factor of the `pace` where they are used.

    In an overload late calls get only free slots. Callers that were refused come back late, and if
    their calls waited, they would take the slots in which others could still be timely.
    """

    slots: int
    uplink: Uplink = field(default_factory=Uplink)
    limit: RateLimit = field(default_factory=RateLimit)
    pace: Pace = field(default_factory=Pace)
    nested_limits: NestedLimits = field(default_factory=NestedLimits)
    shares: TeamShares = field(default_factory=TeamShares)
    slowdown: Slowdown = field(default_factory=Slowdown)
    running: set[QueuedCall] = field(default_factory=set)
    waiting: list[QueuedCall] = field(default_factory=list)
    route_means_s: dict[str, float] = field(default_factory=dict)
    mean_s: float = 0.0
    _overloaded_until: dict[str, float] = field(default_factory=dict)
    _last_sequence: int = 0

    def offer(self, call: QueuedCall, now: float, *, may_wait: bool) -> Admission:
        """Start, queue or refuse a call.

        A call may wait while it is expected to meet its objective. A call that will miss it waits
        only if no timely call is waiting, and none has been refused recently: otherwise late calls
        would make all calls late. This holds within each team.
        """
        admission = self._decide(call, now, may_wait=may_wait)
        if call.team and admission is not Admission.FULL:
            self.shares.record_offer(call.team, now)
        return admission

    def _decide(self, call: QueuedCall, now: float, *, may_wait: bool) -> Admission:
        if self._estimate_end(call, now) > call.deadline:
            return Admission.LATE
        if self._has_room(call, now):
            self._start(call, now)
            return Admission.START
        if not may_wait:
            return Admission.FULL
        if not self._may_wait(call, now):
            if call.is_new and self._is_timely(call, now):
                self._overloaded_until[call.team] = now + OVERLOAD_MEMORY_S
            return Admission.LATE
        self._last_sequence += 1
        call.sequence = self._last_sequence
        self.waiting.append(call)
        return Admission.WAIT

    def would_accept(self, call: QueuedCall, now: float, *, may_wait: bool) -> bool:
        """Return whether `offer` would start or queue a call now."""
        if self._estimate_end(call, now) > call.deadline:
            return False
        return self._has_room(call, now) or (may_wait and self._may_wait(call, now))

    def finish(self, call: QueuedCall, now: float, *, ran: bool) -> None:
        """Free the slot of a started call; update the mean call times only if the call ran."""
        self.running.discard(call)
        self.shares.record_end(call.team, now - call.started, now)
        if not ran:
            return
        factor = self.pace.estimate_time_factor(now) * self.slowdown.average(call.slowdown, now)
        took_s = (now - call.started) / factor
        previous = self.route_means_s.get(call.route)
        self.route_means_s[call.route] = (
            took_s if previous is None else _update_mean(previous, took_s)
        )
        self.mean_s = took_s if not self.mean_s else _update_mean(self.mean_s, took_s)

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a waiting call."""
        if call in self.waiting:
            self.waiting.remove(call)

    def dispatch(self, now: float) -> tuple[list[QueuedCall], list[QueuedCall]]:
        """Start waiting calls while slots are free and drop calls that would miss their deadline.

        Return the started calls and the dropped calls.
        """
        started: list[QueuedCall] = []
        late = [t for t in self.waiting if self._estimate_end(t, now) > t.deadline]
        for call in late:
            self.waiting.remove(call)
        late += self._displace(now)
        while self._has_capacity(now):
            ready = [t for t in self.waiting if self._is_ready(t, now)]
            if not ready:
                break
            call = self._choose_next(ready, now)
            self.waiting.remove(call)
            self._start(call, now)
            started.append(call)
        return started, late

    def clear_waiting(self) -> list[QueuedCall]:
        """Remove all waiting calls and return them."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def estimate_call(self, route: str, at: float = math.inf) -> float:
        """Return the expected time in seconds of a call on `route` that starts `at` that time."""
        usual_s = self.route_means_s.get(route) or self.mean_s or DEFAULT_CALL_S
        return usual_s * self.slowdown.estimate(at) * self.pace.estimate_time_factor(at)

    def estimate_rate(self, now: float) -> float:
        """Return how many calls a second have started lately."""
        if self.pace.is_configured:
            return self.pace.count_recent(now)
        return len(self.running) / (self.mean_s or DEFAULT_CALL_S)

    def estimate_wait(self, now: float, rank: float) -> float:
        """Return the seconds until a new call of `rank` would get a slot."""
        return self._estimate_wait([t for t in self.waiting if t.rank <= rank], now)

    def _estimate_wait(self, queued: list[QueuedCall], now: float) -> float:
        slots = self.pace.limit_slots(self.slots, now)
        if len(self.running) < slots and not self.waiting:
            return 0.0
        queued_s = sum(self.estimate_call(t.route, now) for t in queued)
        remaining_s = sum(self._estimate_remaining(call, now) for call in self.running)
        return (queued_s + remaining_s) / max(1, slots)

    def estimate_start(self, call: QueuedCall, now: float) -> float:
        """Return the seconds until a new call could start, given the slots and the link."""
        ahead = self._list_ahead(call, now)
        wait_s = max(
            self._estimate_wait(ahead, now),
            self.limit.estimate_wait(now, len(ahead)),
            self.pace.estimate_wait(now, len(ahead)),
            self.nested_limits.estimate_wait(call.route, now),
        )
        if not call.sending_s:
            return wait_s
        ahead_s = sum(t.sending_s for t in ahead)
        link_s = self.estimate_link_wait(now) + ahead_s - self.estimate_call(call.route, now)
        return max(wait_s, link_s)

    def estimate_link_wait(self, now: float) -> float:
        """Return the seconds until the link has sent all responses, also those of running calls."""
        unsent_s = self.uplink.estimate_wait(now)
        return unsent_s + sum(call.sending_s for call in self.running)

    def _has_room(self, call: QueuedCall, now: float) -> bool:
        """Return whether a new call may start now; small ones pass calls waiting for the link."""
        if not self._has_capacity(now) or not self._is_ready(call, now):
            return False
        return not any(call.sending_s or self._is_ready(waiting, now) for waiting in self.waiting)

    def _has_capacity(self, now: float) -> bool:
        if len(self.running) >= self.pace.limit_slots(self.slots, now):
            return False
        return self.limit.permits(now) and self.pace.permits(now)

    def _is_ready(self, call: QueuedCall, now: float) -> bool:
        return self._is_link_free(call, now) and self.nested_limits.permits(call.route, now)

    def _may_wait(self, call: QueuedCall, now: float) -> bool:
        overloaded_until = self._overloaded_until.get(call.team, -math.inf)
        if call.is_new and now < overloaded_until and not self._is_timely(call, now):
            return False
        start = now + self.estimate_start(call, now)
        if self._is_timely(call, start):
            return True
        if any(self._is_timely(t, now) for t in self.waiting if t.team == call.team):
            return False
        return self._estimate_end(call, start) <= call.deadline

    def _is_link_free(self, call: QueuedCall, now: float) -> bool:
        if not call.sending_s:
            return True
        ready_s = self.estimate_call(call.route, now) + LINK_SLACK_S
        return self.estimate_link_wait(now) <= ready_s

    def _estimate_end(self, call: QueuedCall, start: float) -> float:
        return start + self.estimate_call(call.route, start) + call.sending_s

    def _estimate_remaining(self, call: QueuedCall, now: float) -> float:
        mean_s = self.estimate_call(call.route, now)
        return max(mean_s - (now - call.started), mean_s * MIN_REMAINING_FRACTION)

    def _is_timely(self, call: QueuedCall, start: float) -> bool:
        expected_s = self.estimate_call(call.route, start) + call.sending_s
        return start + TIMELY_MARGIN * expected_s <= call.due

    def _make_sort_key(self, call: QueuedCall, now: float) -> tuple[bool, float, float, int]:
        late = call.is_new and not self._is_timely(call, now)
        return late, call.rank, call.due, call.sequence

    # Calls of teams.

    def _choose_next(self, ready: list[QueuedCall], now: float) -> QueuedCall:
        """Return the call that starts next; calls without a team keep their order."""
        plain = [call for call in ready if not call.team]
        first = min(plain, key=lambda call: self._make_sort_key(call, now)) if plain else None
        if len(plain) == len(ready):
            return first or ready[0]
        view = self._measure_shares(now)
        shared = (call for call in ready if call.team)
        candidate = min(shared, key=lambda call: self._make_team_key(call, view, now))
        if first is None or view.make_sort_key(candidate) < view.make_sort_key(first):
            return candidate
        return first

    def _displace(self, now: float) -> list[QueuedCall]:
        """Remove and return the last calls of teams, as far as they can't end in time any more.

        Calls that came later may have been put before them, for teams that have used less.
        """
        displaced: list[QueuedCall] = []
        shared = [call for call in self.waiting if call.team]
        if not shared:
            return displaced
        view = self._measure_shares(now)
        shared.sort(key=lambda call: self._make_team_key(call, view, now))
        while shared:
            last = shared.pop()
            others = [call for call in self.waiting if call is not last]
            start = now + self._estimate_wait(others, now)
            if self._estimate_end(last, start) <= last.deadline:
                break
            self.waiting.remove(last)
            displaced.append(last)
        self.shares.displaced_count += len(displaced)
        return displaced

    def describe_share(self, team: str, now: float) -> dict[str, object]:
        """Return what decisions on calls of `team` depend on, for logs; nothing without a team."""
        if not team:
            return {}
        view = self._measure_shares(now)
        usage_s = round(view.measure_usage(team), 3)
        return {"team": team, "usage_s": usage_s, "share_s": round(view.share_s, 3)}

    def _list_ahead(self, call: QueuedCall, now: float) -> list[QueuedCall]:
        """Return the waiting calls that start before the new `call`."""
        if not call.team:
            return [waiting for waiting in self.waiting if waiting.rank <= call.rank]
        view = self._measure_shares(now)
        return view.list_ahead(call, self.waiting, lambda each: self.estimate_call(each.route))

    def _measure_shares(self, now: float) -> ShareView:
        held: dict[str, float] = {}
        for call in self.running:
            held_s = max(self.estimate_call(call.route), now - call.started)
            held[call.team] = held.get(call.team, 0.0) + held_s
        return self.shares.measure(held, now)

    def _make_team_key(
        self, call: QueuedCall, view: ShareView, now: float
    ) -> tuple[bool, float, float, bool, float, int]:
        late = call.is_new and not self._is_timely(call, now)
        return (*view.make_sort_key(call), late, call.due, call.sequence)

    def _start(self, call: QueuedCall, now: float) -> None:
        call.started = now
        call.slowdown = self.slowdown.read_fresh(now)
        self.limit.take(now)
        self.running.add(call)
        self.pace.take(now, len(self.running))
        self.nested_limits.take(call.route, now)


def _update_mean(previous: float, newest: float) -> float:
    return previous + EWMA_WEIGHT * (newest - previous)
