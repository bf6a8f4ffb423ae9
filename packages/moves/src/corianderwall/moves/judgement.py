"""Compares the new version of a move with the old one after every time window.

Aggregators run the judge on the merged evidence of all nodes, and each node runs one on its own.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import log

from corianderwall.moves.alarm import Alarm, ScopeKind, create_alarm
from corianderwall.moves.attribution import find_bad_minority
from corianderwall.moves.baseline import Baseline, Stratum
from corianderwall.moves.comparison import CallGroup, VersionComparison, add_tallies
from corianderwall.moves.detector import Sample, compute_log_threshold
from corianderwall.moves.evidence import OTHERS, Cell, CellKey, Window
from corianderwall.moves.scopes import (
    MATERIAL_FAILURE_RATE,
    Metric,
    ScopeTest,
    build_samples,
    choose_material_rate,
    evaluate_cell,
)
from corianderwall.moves.settings import JudgeSettings

OVERALL_ERROR_FRACTION = 0.4
"""Fraction of the error rate for the version as a whole; routes and endpoints share the rest."""

GROUP_ERROR_FRACTION = 0.3
MIN_MAIN_ROUTE_FRACTION = 0.2
"""Minimum fraction of the calls on a main route; every step waits for proof on main routes."""

MIN_ROUTES = 4
MIN_ENDPOINTS = 8
MIN_COMPARISON_LOG_RATIO = 3.0
"""Minimum log likelihood ratio that shows the old version to be better in recent calls."""

MAX_HEALTHY_LOG_VALUE = 1.5
"""Log value below which a test shows no sign that its endpoint is bad."""

SUSPICION_FRACTION = 0.4
"""Fraction of the way to an alarm from which steps are held back and reports are urgent."""


class Verdict(enum.Enum):
    """The conclusion from the evidence on the new version."""

    GOOD = "good"
    BAD = "bad"
    BAD_ENDPOINTS = "bad endpoints"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True, kw_only=True)
class Judgement:
    """The result of evaluating the evidence after a window, at the move's `step`.

    `is_suspicious` holds back the next step, though the version is not proven bad. On
    `unproven_routes` the new version has had too few calls since the step to show that it is as
    good as the old one; `unproven_main_routes` are the main routes among them.
    """

    verdict: Verdict
    step: int = 0
    step_calls: int = 0
    is_suspicious: bool = False
    unproven_routes: tuple[str, ...] = ()
    unproven_main_routes: tuple[str, ...] = ()
    bad_endpoints: tuple[str, ...] = ()
    cause: str = ""
    evidence: str = ""


@dataclass(slots=True)
class Judge:
    """Evaluates the windows of one move.

    `zones` maps the new version's endpoints to their zones and may be replaced at any time.
    """

    settings: JudgeSettings
    zones: Mapping[str, str]
    baseline: Baseline = field(default_factory=Baseline)
    ejected: set[str] = field(default_factory=set)
    step: int = 0
    material_rate: float = MATERIAL_FAILURE_RATE
    _overall: ScopeTest = field(default_factory=ScopeTest)
    _routes: dict[str, ScopeTest] = field(default_factory=dict)
    _endpoints: dict[str, ScopeTest] = field(default_factory=dict)
    _comparisons: dict[Metric, VersionComparison] = field(
        default_factory=lambda: {metric: VersionComparison() for metric in Metric}
    )

    def add_window(self, window: Window) -> None:
        """Count one window's calls of both versions."""
        self.baseline.add_window(window)
        for comparison in self._comparisons.values():
            comparison.decay()
        for key, cell in window.items():
            if not cell.calls:
                continue
            if not key.is_new:
                self._add_old_cell(key, cell)
            elif key.place not in self.ejected:
                self._add_new_cell(key, cell)
        for scope in self._list_scopes():
            scope.close_window()

    def start_step(self, step: int, share_permille: int) -> None:
        """Require new proof that the version is good, as its share has changed."""
        if step == self.step:
            return
        self.step = step
        self.material_rate = choose_material_rate(share_permille)
        for scope in self._list_scopes():
            scope.start_step()

    def eject(self, endpoints: tuple[str, ...]) -> None:
        """Ignore these endpoints from now on and restart the tests of the others."""
        new = [endpoint for endpoint in endpoints if endpoint not in self.ejected]
        if not new:
            return
        self.ejected.update(new)
        for endpoint in new:
            self._endpoints.pop(endpoint, None)
        calls = self._overall.step_calls
        self._overall = ScopeTest(step_calls=calls)
        self._routes = {route: ScopeTest() for route in self._routes}
        for comparison in self._comparisons.values():
            comparison.remove_endpoints(new)

    def judge(self) -> Judgement:
        """Return the judgement from the evidence so far."""
        alarms, is_suspicious = self._find_alarms()
        if alarms:
            return self._judge_alarms(alarms)
        unproven = tuple(
            sorted(route for route, scope in self._routes.items() if not self._is_cleared(scope))
        )
        is_good = not is_suspicious and self._is_cleared(self._overall)
        return Judgement(
            verdict=Verdict.GOOD if is_good else Verdict.UNDECIDED,
            step=self.step,
            step_calls=self._overall.step_calls,
            is_suspicious=is_suspicious,
            unproven_routes=unproven,
            unproven_main_routes=tuple(route for route in unproven if self._is_main(route)),
            evidence=self._describe_step(),
        )

    def _add_new_cell(self, key: CellKey, cell: Cell) -> None:
        cell_evidence = evaluate_cell(
            key,
            cell,
            self.zones.get(key.place, OTHERS),
            self.baseline,
            self.settings.tolerance,
            self.material_rate,
        )
        self._overall.add_cell(cell_evidence)
        _find_scope(self._routes, key.route).add_cell(cell_evidence)
        _find_scope(self._endpoints, key.place).add_cell(cell_evidence)
        self._add_recent_samples(key, cell_evidence.samples)

    def _add_old_cell(self, key: CellKey, cell: Cell) -> None:
        stratum = Stratum(key.route, key.place, key.level)
        samples = build_samples(cell, stratum, self.baseline, self.settings.tolerance)
        self._add_recent_samples(key, samples)

    def _add_recent_samples(self, key: CellKey, samples: Mapping[Metric, Sample]) -> None:
        group = CallGroup(key.place, key.route)
        for metric, sample in samples.items():
            self._comparisons[metric].add_sample(group, sample, is_new=key.is_new)

    def _list_scopes(self) -> list[ScopeTest]:
        return [self._overall, *self._routes.values(), *self._endpoints.values()]

    def _is_main(self, route: str) -> bool:
        return self._routes[route].step_calls >= MIN_MAIN_ROUTE_FRACTION * self._overall.step_calls

    def _is_cleared(self, scope: ScopeTest) -> bool:
        required = -log(self.settings.clearance_error)
        return scope.failure_clearance >= required and scope.slow_clearance >= required

    def _find_alarms(self) -> tuple[list[Alarm], bool]:
        alarms: list[Alarm] = []
        is_suspicious = False
        routes = max(MIN_ROUTES, len(self._routes))
        endpoints = max(MIN_ENDPOINTS, len(self._endpoints))
        groups = (
            (ScopeKind.WHOLE, {"": self._overall}, 1 / OVERALL_ERROR_FRACTION),
            (ScopeKind.ROUTE, self._routes, routes / GROUP_ERROR_FRACTION),
            (ScopeKind.ENDPOINT, self._endpoints, endpoints / GROUP_ERROR_FRACTION),
        )
        for kind, scopes, tests in groups:
            threshold = compute_log_threshold(
                self.settings.windows, tests * len(Metric), self.settings.alarm_error
            )
            suspicion = self._compute_suspicion(threshold)
            for name, scope in scopes.items():
                for metric, detector in scope.detectors.items():
                    value = detector.log_value
                    is_suspicious = is_suspicious or value >= suspicion
                    if value >= threshold:
                        alarms.append(create_alarm(metric, kind, name, value, threshold))
        return [alarm for alarm in alarms if self._is_confirmed(alarm)], is_suspicious

    def _is_confirmed(self, alarm: Alarm) -> bool:
        """Return whether the old version, if it still has calls, is better at the same time."""
        if not self.baseline.has_recent_calls:
            return True
        comparison = self._comparisons[alarm.metric]
        return (
            comparison.compute_log_ratio(self.zones, alarm.route, alarm.endpoint)
            >= MIN_COMPARISON_LOG_RATIO
        )

    def _compute_suspicion(self, threshold: float) -> float:
        expected = log(max(self.settings.windows, 1))
        return expected + SUSPICION_FRACTION * (threshold - expected)

    def _judge_alarms(self, alarms: list[Alarm]) -> Judgement:
        alarm = max(alarms, key=lambda each: each.log_value - each.log_threshold)
        bad = self._attribute(alarm)
        return Judgement(
            verdict=Verdict.BAD_ENDPOINTS if bad else Verdict.BAD,
            step=self.step,
            step_calls=self._overall.step_calls,
            is_suspicious=True,
            bad_endpoints=bad,
            cause=f"{alarm.metric.value} at {alarm.label}",
            evidence=self._describe_alarm(alarm),
        )

    def _attribute(self, alarm: Alarm) -> tuple[str, ...]:
        """Return the endpoints that alone cause the alarm, or none if the version is bad."""
        if alarm.route:
            by_endpoint = self._comparisons[alarm.metric].sum_endpoints(alarm.route)
            bad = find_bad_minority(by_endpoint, alarm.metric)
        else:
            bad = self._find_outliers(alarm)
        endpoint_count = len({*self.zones, *self._endpoints, *self.ejected})
        return bad if 2 * (len(bad) + len(self.ejected)) < endpoint_count else ()

    def _find_outliers(self, alarm: Alarm) -> tuple[str, ...]:
        """Return the suspicious endpoints if the tests of all others show no sign of a fault."""
        suspicion = self._compute_suspicion(alarm.log_threshold)
        values = {
            name: scope.detectors[alarm.metric].log_value for name, scope in self._endpoints.items()
        }
        outliers = tuple(sorted(name for name, value in values.items() if value >= suspicion))
        rest = [value for name, value in values.items() if name not in outliers]
        return outliers if rest and max(rest) < MAX_HEALTHY_LOG_VALUE else ()

    def _describe_alarm(self, alarm: Alarm) -> str:
        tallies = self._comparisons[alarm.metric].sum_endpoints(alarm.route)
        chosen = [each for name, each in tallies.items() if alarm.endpoint in ("", name)]
        total = add_tallies(chosen)
        return (
            f"recent {alarm.metric.value} {total.rate:.1%} of {total.calls:.0f} calls, "
            f"tolerable {total.null_rate:.1%}; log e-value {alarm.log_value:.1f} "
            f"over {alarm.log_threshold:.1f}"
        )

    def _describe_step(self) -> str:
        overall = self._overall
        return (
            f"{overall.step_calls} calls since the step; log evidence for as good as before: "
            f"failures {overall.failure_clearance:.1f}, latency {overall.slow_clearance:.1f}"
        )


def _find_scope(scopes: dict[str, ScopeTest], name: str) -> ScopeTest:
    scope = scopes.get(name)
    if scope is None:
        scope = scopes[name] = ScopeTest()
    return scope
