"""An alarm: one test of one scope that passed its threshold."""

import enum
from dataclasses import dataclass

from corianderwall.moves.scopes import Metric


class Part(enum.Enum):
    """Which part of the new version's calls a test is about."""

    WHOLE = "all calls"
    ROUTE = "route"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class Alarm:
    """A test's value and threshold, both logarithms; an empty `route` or `endpoint` means all."""

    metric: Metric
    label: str
    route: str
    endpoint: str
    log_value: float
    log_threshold: float


def create_alarm(
    metric: Metric, part: Part, name: str, log_value: float, log_threshold: float
) -> Alarm:
    """Return the alarm of the test of `metric` on the `part` of this `name`."""
    return Alarm(
        metric=metric,
        label=f"{part.value} {name}".strip(),
        route=name if part is Part.ROUTE else "",
        endpoint=name if part is Part.ENDPOINT else "",
        log_value=log_value,
        log_threshold=log_threshold,
    )
