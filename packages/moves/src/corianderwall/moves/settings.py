"""Settings of a judge, derived from the policy of a move."""

from dataclasses import dataclass

from corianderwall.model.resource import PERMILLE, MovePolicy
from corianderwall.moves.scopes import Tolerance


@dataclass(frozen=True, slots=True, kw_only=True)
class JudgeSettings:
    """Tolerance and error rates of one judge over all its windows."""

    tolerance: Tolerance
    windows: float
    alarm_error: float
    clearance_error: float


def choose_settings(policy: MovePolicy, windows: float, error_fraction: float) -> JudgeSettings:
    """Return the settings of a judge with `error_fraction` of a move's error rate.

    A cautious policy accepts more false alarms and requires more proof before a step.
    """
    alarm_error = 0.001 + 0.003 * policy.caution
    return JudgeSettings(
        tolerance=Tolerance(
            failure_rate=policy.tolerated_error_permille / PERMILLE,
            slowdown=1 + policy.tolerated_slowdown_percent / 100,
        ),
        windows=windows,
        alarm_error=alarm_error * error_fraction,
        clearance_error=0.02 - 0.015 * policy.caution,
    )
