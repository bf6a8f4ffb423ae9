"""Moves of services to new versions: the traffic of each version, and the evidence about it."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

from corianderwall.mesh.directory import EndpointView
from corianderwall.mesh.messages import Evidence, MoveOrder, MoveView, RouteEvidence
from corianderwall.model.resource import MoveState

CANARY_FRACTION = 0.4
"""Fraction of the allowed canary share that a new version gets during its evaluation. The rest is
for the calls that it gets in a shift until it is found to be bad."""
MIN_CALLS = 6
"""Calls that a version needs, in total or of one route, before it is evaluated."""
MIN_FAILURES = 3
"""Failures below which a version is not failing; good versions have single failures too."""
MAX_FAILURE_RATE_INCREASE = 0.15
"""A version is rolled back if its failure rate exceeds the old version's by more than this."""
MAX_SLOWDOWN_FACTOR = 2.5
"""A version is rolled back if its mean time exceeds the old version's by more than this factor;
cold starts stay below it."""
EARLY_COMPLETION_CALLS = 20
"""Calls without a finding after which a move may complete before its time is over."""
EARLY_COMPLETION_FRACTION = 0.7
"""Fraction of an order's time after which a move with enough calls completes. The allowance for the
shift grows until then."""
LATEST_COMPLETION_FRACTION = 0.8
"""Fraction of an order's time after which a move completes with any number of calls."""
RECENT_EVIDENCE_S = 2.0
"""Time after which a call no longer counts as recent; a version may turn bad after a good start."""
RECENT_MIN_CALLS = 12
"""Recent calls that a version needs before they are evaluated on their own."""
RECENT_MIN_FAILURES = 5
"""Recent failures below which a version is not failing."""
FINAL_STATES = (MoveState.COMPLETED, MoveState.TAKEN_BACK)
UNORDERED_HOLD_S = 2.0
"""Time for which a version without an order gets no calls; its order may still be in transit."""


@dataclass(slots=True)
class RouteCounts:
    """Calls, failures and the sum of the call times of one route or of a whole version."""

    calls: int = 0
    failures: int = 0
    sum_ms: float = 0.0


@dataclass(slots=True)
class _Arrivals:
    """The requests of this node that have reached an endpoint since it knows an order.

    `offset`, less than one request, spreads the first requests of all nodes to the new version.
    """

    order_key: tuple[str, int, str]
    offset: float
    total: int = 0
    new: int = 0


@dataclass(slots=True)
class Move:
    """The state of one order; times are monotonic seconds, and its time starts at `seen_at`.

    `rejected` are the versions of earlier orders that were found to be bad; they get no calls.
    `settled` is the final state once it is known; the store may have lost it with an era. `former`
    holds the last known orders of other versions, by version, to recognise them in an old copy.
    This node writes the rollback at `cut_write_at` and the completion at `shift_until`. Each is
    None until it is scheduled.
    """

    order: MoveOrder
    seen_at: float
    cut: bool = False
    shifting: bool = False
    rejected: frozenset[str] = frozenset()
    settled: MoveState | None = None
    former: dict[str, MoveOrder] = field(default_factory=dict)
    cut_write_at: float | None = None
    shift_until: float | None = None
    evidence: dict[str, Evidence] = field(default_factory=dict)
    _checkpoints: deque[tuple[float, dict[str, Evidence]]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        if self.order.state in FINAL_STATES:
            self.settled = self.order.state

    @property
    def is_running(self) -> bool:
        """Return whether the order has no final state."""
        return self.settled is None

    @property
    def is_state_lost(self) -> bool:
        """Return whether the store has lost the final state with an era."""
        return self.settled is not None and self.order.state is not self.settled

    @property
    def is_rejected(self) -> bool:
        """Return whether the new version has been found to be bad."""
        return self.cut or self.settled is MoveState.TAKEN_BACK

    def update_order(self, order: MoveOrder) -> None:
        """Replace the order by a newer state of it."""
        if order.created != self.order.created:
            # The counts so far are those of the object that the store has lost.
            self.evidence.clear()
            self._checkpoints.clear()
        self.order = order
        if order.state in FINAL_STATES:
            self.settled = order.state

    def add_checkpoint(self, now: float) -> None:
        """Keep the evidence of now, as the start of a later span of recent evidence."""
        self._checkpoints.append((now, dict(self.evidence)))
        while len(self._checkpoints) > 1 and self._checkpoints[1][0] <= now - RECENT_EVIDENCE_S:
            self._checkpoints.popleft()

    def list_recent_evidence(self) -> list[Evidence]:
        """Return the evidence of the last `RECENT_EVIDENCE_S`, or all of it if there is less."""
        if not self._checkpoints:
            return list(self.evidence.values())
        earlier = self._checkpoints[0][1]
        return [_subtract(each, earlier.get(key)) for key, each in self.evidence.items()]


class MoveTracker:
    """The moves that this node knows; a newer revision of an order replaces an older one."""

    def __init__(self, canary_share: float, random: Random) -> None:
        self.moves: dict[str, Move] = {}
        self._canary_share = canary_share * CANARY_FRACTION
        self._random = random
        self._arrivals: dict[str, _Arrivals] = {}
        self._counts: dict[str, RouteCounts] = {}
        self._counted_order: tuple[str, int, str] | None = None

    def merge_view(self, view: MoveView, now: float) -> bool:
        """Merge a view of an order; return whether it changed anything."""
        order = view.order
        current = self.moves.get(order.service)
        if current is None or _replaces_order(order, current):
            self.moves[order.service] = _start_move(view, current, now)
            return True
        if not _is_same_order(order, current.order):
            return False
        former = (current.order, current.cut, current.shifting, current.rejected)
        if (order.era, order.revision) > (current.order.era, current.order.revision):
            current.update_order(order)
        elif current.settled is None and order.state in FINAL_STATES:
            # A peer knows a state that the store has lost.
            current.settled = order.state
        current.seen_at = min(current.seen_at, now - view.age_s)
        current.cut |= view.cut
        current.shifting |= view.shifting
        current.rejected |= frozenset(view.rejected) - {order.version}
        return former != (current.order, current.cut, current.shifting, current.rejected)

    def list_views(self, now: float) -> tuple[MoveView, ...]:
        """Return the views of all orders, to be sent to another node."""
        return tuple(
            MoveView(
                order=move.order,
                age_s=round(now - move.seen_at, 3),
                cut=move.cut,
                shifting=move.shifting,
                rejected=tuple(sorted(move.rejected)),
            )
            for move in self.moves.values()
        )

    def may_try_new_version(self, service: str, views: list[EndpointView]) -> bool:
        """Return whether the new version's share of the requests has room for one more.

        Ask once for each call: a call that asks again for each attempt would exceed the share.
        """
        move = self.moves.get(service)
        if move is None:
            return False
        arrivals = self._find_arrivals(move.order)
        version = move.order.version
        pending = sum(view.pending for view in views if view.record.version == version)
        allowed = self._canary_share * arrivals.total + arrivals.offset
        return arrivals.new + pending + 1 <= allowed

    def count_arrival(self, service: str, version: str) -> None:
        """Count a request of this node that has reached an endpoint of `version`."""
        move = self.moves.get(service)
        if move is None or not move.is_running:
            return
        arrivals = self._find_arrivals(move.order)
        arrivals.total += 1
        arrivals.new += version == move.order.version

    def filter_endpoints(
        self, service: str, views: list[EndpointView], now: float, *, try_new: bool
    ) -> list[EndpointView]:
        """Return the endpoints that the state of the move allows for the next call of `service`.

        While the new version is being tested, it gets the calls with `try_new`.
        """
        move = self.moves.get(service)
        if move is None:
            return _exclude_unordered(views, now)
        views = [view for view in views if view.record.version not in move.rejected]
        if len(views) < 2:
            return self._exclude_bad_version(move, views)
        version = move.order.version
        new = [view for view in views if view.record.version == version]
        old = [view for view in views if view.record.version != version]
        if move.settled is MoveState.COMPLETED:
            return new or old
        if move.is_rejected:
            return old
        if not new or not old:
            return new or old
        return new if move.shifting or try_new else old

    def count_call(
        self, service: str, version: str, route: str, *, failed: bool, took_s: float
    ) -> None:
        """Count a call at the endpoint beside this node while a move of its service is running."""
        move = self.moves.get(service)
        if move is None or not move.is_running:
            return
        if self._counted_order != _make_order_key(move.order):
            self._counted_order = _make_order_key(move.order)
            self._counts = {}
        count = self._counts.setdefault(route, RouteCounts())
        count.calls += 1
        count.failures += failed
        count.sum_ms += took_s * 1000

    def make_evidence(self, service: str, version: str, node: str) -> Evidence | None:
        """Return the counts of this node for a running move, or None if there are none."""
        move = self.moves.get(service)
        if (
            move is None
            or not move.is_running
            or self._counted_order != _make_order_key(move.order)
        ):
            return None
        routes = tuple(
            RouteEvidence(route=name, calls=c.calls, failures=c.failures, sum_ms=round(c.sum_ms, 1))
            for name, c in self._counts.items()
        )
        return Evidence(
            service=service, version=version, node=node, created=move.order.created, routes=routes
        )

    def store_evidence(self, evidence: Evidence) -> None:
        """Store the newest counts of an owner."""
        move = self.moves.get(evidence.service)
        if move is not None and move.order.created == evidence.created:
            move.evidence[f"{evidence.node} {evidence.version}"] = evidence

    def _find_arrivals(self, order: MoveOrder) -> "_Arrivals":
        key = _make_order_key(order)
        arrivals = self._arrivals.get(order.service)
        if arrivals is None or arrivals.order_key != key:
            arrivals = _Arrivals(key, offset=self._random.random())
            self._arrivals[order.service] = arrivals
        return arrivals

    def _exclude_bad_version(self, move: Move, views: list[EndpointView]) -> list[EndpointView]:
        if not move.is_rejected:
            return views
        return [view for view in views if view.record.version != move.order.version]


@dataclass(frozen=True, slots=True)
class Finding:
    """The evidence that a version is bad, for the log."""

    route: str
    cause: str
    calls: int
    failures: int
    mean_ms: float
    old_mean_ms: float


def find_regression(move: Move) -> Finding | None:
    """Return the evidence that the new version of `move` is bad, or None if there is none.

    The recent calls are also compared on their own: many good calls from before would hide that
    the version has turned bad, for example because it gets more calls than in its test.
    """
    every = list(move.evidence.values())
    recent = move.list_recent_evidence()
    return _compare_versions(
        move.order.version, every, every, min_calls=MIN_CALLS, min_failures=MIN_FAILURES
    ) or _compare_versions(
        move.order.version,
        recent,
        every,
        min_calls=RECENT_MIN_CALLS,
        min_failures=RECENT_MIN_FAILURES,
    )


def sum_evidence(move: Move) -> tuple[RouteCounts, RouteCounts]:
    """Return the counts of the new version of `move` and of all other versions."""
    version = move.order.version
    new = _sum_routes(move.evidence.values(), version, new=True)
    old = _sum_routes(move.evidence.values(), version, new=False)
    return _sum_counts(new.values()), _sum_counts(old.values())


def may_complete(move: Move, now: float) -> bool:
    """Return whether the new version has been tested for long enough."""
    age_s = now - move.seen_at
    calls = sum_evidence(move)[0].calls
    early = (
        age_s >= move.order.duration_s * EARLY_COMPLETION_FRACTION
        and calls >= EARLY_COMPLETION_CALLS
    )
    return early or age_s >= move.order.duration_s * LATEST_COMPLETION_FRACTION


def is_overdue(move: Move, now: float) -> bool:
    """Return whether the time that the operator has given is over."""
    return now - move.seen_at >= move.order.duration_s


def _exclude_unordered(views: list[EndpointView], now: float) -> list[EndpointView]:
    """Return `views` without those of a version that has just appeared and has no order yet."""
    settled = {v.record.version for v in views if now - v.joined_at >= UNORDERED_HOLD_S}
    return [v for v in views if v.record.version in settled] if settled else views


def _make_order_key(order: MoveOrder) -> tuple[str, int, str]:
    """Return the key of an order; an operator may write the next order into the same object."""
    return order.service, order.created, order.version


def _start_move(view: MoveView, current: Move | None, now: float) -> Move:
    """Return the move of a new order, which replaces `current`."""
    order = view.order
    rejected = set(view.rejected)
    former: dict[str, MoveOrder] = {}
    if current is not None:
        former = current.former | {current.order.version: current.order}
        rejected |= current.rejected
        if current.is_rejected:
            rejected.add(current.order.version)
    return Move(
        order,
        now - view.age_s,
        view.cut,
        view.shifting,
        rejected=frozenset(rejected - {order.version}),
        former=former,
    )


def _is_same_order(order: MoveOrder, other: MoveOrder) -> bool:
    """Return whether both are states of one order; an order written again has another `created`."""
    same_object = order.created == other.created or order.era != other.era
    return order.version == other.version and same_object


def _replaces_order(newer: MoveOrder, current: Move) -> bool:
    order = current.order
    if newer.era != order.era:
        # An earlier copy of the store may hold the order before the current one, which the
        # operator writes again.
        former = current.former.get(newer.version)
        restored = former is not None and (newer.created, newer.revision) <= (
            former.created,
            former.revision,
        )
        return newer.era > order.era and newer.version != order.version and not restored
    if newer.created != order.created:
        return newer.created > order.created
    return newer.version != order.version and newer.revision > order.revision


def _compare_versions(
    version: str,
    evidence: list[Evidence],
    every: list[Evidence],
    *,
    min_calls: int,
    min_failures: int,
) -> Finding | None:
    """Compare `version` with the others by `evidence`; fall back to `every` for those without."""
    new = _sum_routes(evidence, version, new=True)
    old = _sum_routes(evidence, version, new=False)
    if _sum_counts(old.values()).calls < min_calls:
        old = _sum_routes(every, version, new=False)
    comparison = _Comparison(min_calls, min_failures)
    total = _sum_counts(new.values())
    finding = comparison.run("all", total, _sum_counts(old.values()), compare_times=False)
    if finding is not None:
        return finding
    for route, count in new.items():
        finding = comparison.run(route, count, old.get(route, RouteCounts()), compare_times=True)
        if finding is not None:
            return finding
    return None


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Compares two versions once the new one has at least these calls and failures."""

    min_calls: int
    min_failures: int

    def run(
        self, route: str, new: RouteCounts, old: RouteCounts, *, compare_times: bool
    ) -> Finding | None:
        if new.calls < self.min_calls:
            return None
        old_failure_rate = old.failures / old.calls if old.calls else 0.0
        mean_ms = new.sum_ms / new.calls
        old_mean_ms = old.sum_ms / old.calls if old.calls else 0.0
        failing = (
            new.failures >= self.min_failures
            and new.failures / new.calls > old_failure_rate + MAX_FAILURE_RATE_INCREASE
        )
        enough_old = old.calls >= self.min_calls
        slow = compare_times and enough_old and mean_ms > old_mean_ms * MAX_SLOWDOWN_FACTOR
        if not failing and not slow:
            return None
        cause = "failures" if failing else "slow"
        return Finding(
            route, cause, new.calls, new.failures, round(mean_ms, 1), round(old_mean_ms, 1)
        )


def _sum_routes(evidence: Iterable[Evidence], version: str, *, new: bool) -> dict[str, RouteCounts]:
    sums: dict[str, RouteCounts] = {}
    for each in evidence:
        if (each.version == version) is not new:
            continue
        for item in each.routes:
            count = sums.setdefault(item.route, RouteCounts())
            count.calls += item.calls
            count.failures += item.failures
            count.sum_ms += item.sum_ms
    return sums


def _subtract(evidence: Evidence, earlier: Evidence | None) -> Evidence:
    """Return the counts of `evidence` since `earlier`; a restarted node counts from zero again."""
    if earlier is None:
        return evidence
    before = {item.route: item for item in earlier.routes}
    routes = []
    for item in evidence.routes:
        base = before.get(item.route)
        if base is not None and base.calls <= item.calls:
            item = RouteEvidence(
                route=item.route,
                calls=item.calls - base.calls,
                failures=item.failures - base.failures,
                sum_ms=item.sum_ms - base.sum_ms,
            )
        routes.append(item)
    return msgspec.structs.replace(evidence, routes=tuple(routes))


def _sum_counts(counts: Iterable[RouteCounts]) -> RouteCounts:
    total = RouteCounts()
    for count in counts:
        total.calls += count.calls
        total.failures += count.failures
        total.sum_ms += count.sum_ms
    return total
