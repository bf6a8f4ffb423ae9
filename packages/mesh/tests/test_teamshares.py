"""Teams that compete for one endpoint that is full, without network.

Refused callers try once more after a third of the time that they have left, unless they repeat at
once. "Served" is the share of a team's calls that the endpoint runs and that end by their deadline.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from corianderwall.mesh.admission import Admission, AdmissionQueue, QueuedCall
from corianderwall.mesh.teamshares import TeamShares

SLOTS = 8
CALL_S = 0.2
CAPACITY_PER_S = SLOTS / CALL_S
OBJECTIVE_S = 0.5
TIMEOUT_S = 1.0
SPREAD = 0.35
"""Spread of the logarithm of call times."""
REPEAT_S = 0.02
"""Pause of a caller that repeats a refused call at once."""
SECONDS = 60.0


@dataclass(frozen=True)
class Load:
    """The calls of one team; `surge` multiplies its rate from the middle of the time on."""

    rate_per_s: float
    surge: float = 1.0
    rank: float = 1.0
    repeats: bool = False
    call_s: float = CALL_S


class Contest:
    """Plays the loads of teams; counts calls and served calls from the middle of the time on."""

    def __init__(
        self,
        loads: Mapping[str, Load],
        *,
        shared: bool = True,
        weights: bool = False,
        seed: int = 1,
    ) -> None:
        rates = {team: load.rate_per_s for team, load in loads.items()}
        shares = TeamShares((lambda team: rates.get(team, 1.0)) if weights else lambda _: 1.0)
        self.queue = AdmissionQueue(SLOTS, shares=shares)
        self.calls: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.slot_s: Counter[str] = Counter()
        self._known: dict[QueuedCall, tuple[str, float]] = {}
        self._loads = loads
        self._shared = shared
        self._random = Random(seed)
        self._numbers = count()
        self._events: list[tuple[float, int, str, str, float, QueuedCall]] = []
        for team, load in loads.items():
            self._add_calls(team, load)
        self._run()

    def rate(self, *teams: str) -> float:
        """Return the share of the calls of these teams that were served, of all without any."""
        chosen = teams or tuple(self._loads)
        return sum(self.served[t] for t in chosen) / sum(self.calls[t] for t in chosen)

    def _add_calls(self, team: str, load: Load) -> None:
        at = 0.0
        while True:
            factor = load.surge if at >= SECONDS / 2 else 1.0
            at += self._random.expovariate(load.rate_per_s * factor)
            if at >= SECONDS:
                return
            self.calls[team] += at >= SECONDS / 2
            self._add_event(at, "first", team, at, self._make_call(team, at))

    def _make_call(self, team: str, began: float) -> QueuedCall:
        return QueuedCall(
            f"{self._loads[team].call_s}",
            self._loads[team].rank,
            began + OBJECTIVE_S,
            began + TIMEOUT_S,
            team=team if self._shared else "",
        )

    def _run(self) -> None:
        while self._events:
            now, _, kind, team, began, call = heappop(self._events)
            if kind == "end":
                self.queue.finish(call, now, ran=True)
                if began >= SECONDS / 2:
                    self.slot_s[team] += now - call.started
                    self.served[team] += now <= call.deadline
            else:
                self._offer(now, kind, team, began, call)
            for each in self.queue.dispatch(now)[0]:
                self._start(each, now)

    def _offer(self, now: float, kind: str, team: str, began: float, call: QueuedCall) -> None:
        self._known[call] = (team, began)
        decision = self.queue.offer(call, now, may_wait=True)
        if decision is Admission.START:
            self._start(call, now)
        elif decision is Admission.LATE:
            repeats = self._loads[team].repeats
            if repeats and now + REPEAT_S < began + TIMEOUT_S:
                again = self._make_call(team, began)
                self._add_event(now + REPEAT_S, "again", team, began, again)
            elif kind == "first" and not repeats:
                again = self._make_call(team, began)
                back = now + (began + TIMEOUT_S - now) / 3
                self._add_event(back, "again", team, began, again)

    def _start(self, call: QueuedCall, now: float) -> None:
        team, began = self._known[call]
        mean = math.log(self._loads[team].call_s) - SPREAD**2 / 2
        took_s = math.exp(self._random.gauss(mean, SPREAD))
        self._add_event(now + took_s, "end", team, began, call)

    def _add_event(self, at: float, kind: str, team: str, began: float, call: QueuedCall) -> None:
        heappush(self._events, (at, next(self._numbers), kind, team, began, call))


def make_many(teams: int, load: float, spread: float) -> dict[str, Load]:
    """Return teams that differ in size by up to `spread` and ask for `load` times the capacity."""
    sizes = [spread ** (number / max(1, teams - 1)) for number in range(teams)]
    scale = CAPACITY_PER_S * load / sum(sizes)
    return {f"t{number}": Load(size * scale) for number, size in enumerate(sizes)}


def test_a_team_at_ten_times_its_usual_load_costs_the_others_almost_nothing() -> None:
    """Load pattern: one of 24 teams sends ten times its usual load to a service that is full."""
    usual = make_many(24, 1.3, 1.0)
    hot = usual | {"t3": replace(usual["t3"], surge=10.0)}
    others = tuple(team for team in usual if team != "t3")
    before, after = Contest(hot, shared=False), Contest(hot)
    expected = Contest(usual).rate(*others)
    assert before.rate(*others) < 0.8 * expected
    assert after.rate(*others) > 0.97 * expected
    # The hot team keeps its own share, and no slot is left idle for the others.
    assert after.rate("t3") > 0.08
    assert after.rate() > 0.97 * before.rate()


def test_callers_that_repeat_at_once_gain_nothing() -> None:
    """Load pattern: all callers of a hot team repeat each refused call every 20 ms."""
    usual = make_many(24, 1.3, 1.0)
    hot = usual | {"t3": replace(usual["t3"], surge=10.0)}
    repeating = usual | {"t3": replace(hot["t3"], repeats=True)}
    others = tuple(team for team in usual if team != "t3")
    patient, impatient = Contest(hot), Contest(repeating)
    assert Contest(repeating, shared=False).rate("t3") > 2 * patient.rate("t3")
    assert impatient.rate("t3") < 1.2 * patient.rate("t3")
    assert impatient.rate(*others) > 0.97 * patient.rate(*others)


def test_many_small_teams_are_served_like_the_large_ones() -> None:
    """Load pattern: 84 teams, 300 times apart in size, ask for half more than the capacity, and
    the largest sends four times as much as usual."""
    usual = make_many(84, 1.5, 300.0)
    loads = usual | {"t83": replace(usual["t83"], surge=4.0)}
    others = tuple(team for team in usual if team != "t83")
    before, after = Contest(loads, shared=False, weights=True), Contest(loads, weights=True)
    assert after.rate(*others) > 1.1 * before.rate(*others)
    # The share of a team with fewer calls is left to chance.
    rates = [after.rate(team) for team in usual if after.calls[team] >= 20]
    assert len(rates) > 25
    assert min(rates) > after.rate() / 4


def test_teams_of_a_low_rank_are_served_a_quarter_as_often_as_all() -> None:
    """Load pattern: urgent teams alone ask for all of the capacity, and others for as much."""
    usual = make_many(24, 2.0, 1.0)
    loads = {
        team: replace(load, rank=1.0 + number % 2)
        for number, (team, load) in enumerate(usual.items())
    }
    low = tuple(team for team, load in loads.items() if load.rank > 1.0)
    urgent = tuple(team for team, load in loads.items() if load.rank == 1.0)
    contest = Contest(loads)
    assert Contest(loads, shared=False).rate(*low) < contest.rate() / 3
    assert all(contest.rate(team) > contest.rate() / 4 for team in low)
    assert contest.rate(*urgent) > 1.5 * contest.rate()


def test_shares_count_slot_time_and_not_calls() -> None:
    """Load pattern: two teams ask for all slots, one of them with calls four times as long."""
    short = Load(CAPACITY_PER_S)
    loads = {"short": short, "long": Load(CAPACITY_PER_S / 3, call_s=CALL_S * 3)}
    contest = Contest(loads)
    assert 0.8 < contest.slot_s["long"] / contest.slot_s["short"] < 1.25


def make_call(team: str, due: float = 50.0, deadline: float = 50.0) -> QueuedCall:
    return QueuedCall("r", 1, due, deadline, team=team)


def make_full_queue() -> tuple[AdmissionQueue, QueuedCall]:
    """Return a queue with one slot, calls of 1 s and a running call of the team `heavy`."""
    queue = AdmissionQueue(1)
    first = make_call("heavy")
    assert queue.offer(first, 0.0, may_wait=False) is Admission.START
    queue.finish(first, 1.0, ran=True)
    running = make_call("heavy")
    assert queue.offer(running, 1.0, may_wait=False) is Admission.START
    return queue, running


def test_a_waiting_call_that_others_have_displaced_is_refused_at_once() -> None:
    """Guards against callers of a heavy team that wait for nothing until their deadline."""
    queue, running = make_full_queue()
    heavy = make_call("heavy", deadline=3.5, due=3.4)
    assert queue.offer(heavy, 1.0, may_wait=True) is Admission.WAIT
    light = make_call("light", deadline=4.0, due=3.9)
    assert queue.offer(light, 1.1, may_wait=True) is Admission.WAIT
    assert queue.dispatch(1.1) == ([], [heavy])
    queue.finish(running, 2.0, ran=True)
    assert queue.dispatch(2.0) == ([light], [])


def test_calls_without_a_team_keep_their_order_beside_teams() -> None:
    """Guards against public routes whose timely calls wait behind late ones of a better rank."""
    queue, running = make_full_queue()
    late = QueuedCall("r", 1, 2.5, 50.0)
    timely = QueuedCall("r", 2, 40.0, 50.0)
    for call in (late, timely, make_call("heavy")):
        assert queue.offer(call, 1.0, may_wait=True) is Admission.WAIT
    queue.finish(running, 2.0, ran=True)
    order: list[QueuedCall] = []
    for now in (2.0, 3.0, 4.0):
        (started,), _ = queue.dispatch(now)
        order.append(started)
        queue.finish(started, now + 0.9, ran=True)
    assert order.index(timely) < order.index(late)


def test_accounts_fade_and_stay_finite_over_days() -> None:
    """Guards against shares that remember a busy day, or overflow after weeks."""
    shares = TeamShares()
    for hour in range(24 * 30):
        shares.record_end("a", 10.0, hour * 3600.0)
    view = shares.measure({}, 24 * 30 * 3600.0)
    assert view.measure_usage("a") < 1e-6
