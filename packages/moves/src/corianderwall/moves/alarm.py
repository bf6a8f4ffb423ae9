"""Alarms, raised when a test of the new version exceeds its threshold."""

import enum
from dataclasses import dataclass

from corianderwall.moves.scopes import Metric


class ScopeKind(enum.Enum):
    """The set of the new version's calls that a test covers."""

    WHOLE = "all calls"
    ROUTE = "route"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class Alarm:
    """The log value and log threshold of a test; an empty `route` or `endpoint` means all."""

    metric: Metric
    label: str
    route: str
    endpoint: str
    log_value: float
    log_threshold: float


def create_alarm(
    metric: Metric, kind: ScopeKind, name: str, log_value: float, log_threshold: float
) -> Alarm:
    """Return the alarm for `metric`, with `name` as the route or endpoint if `kind` is one."""
    return Alarm(
        metric=metric,
        label=f"{kind.value} {name}".strip(),
        route=name if kind is ScopeKind.ROUTE else "",
        endpoint=name if kind is ScopeKind.ENDPOINT else "",
        log_value=log_value,
        log_threshold=log_threshold,
    )
