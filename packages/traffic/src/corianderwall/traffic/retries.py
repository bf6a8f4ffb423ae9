"""Decides whether and when to retry a failed attempt; a retry budget bounds amplification."""

import enum
from dataclasses import dataclass
from random import Random

from corianderwall.model.verdict import Verdict, allows_retry

RETRY_RATIO = 0.1
"""Ratio of retries to calls that the retry budget allows."""
BUDGET_CAPACITY = 10.0
"""Capacity of the retry budget, and its initial tokens."""
MAX_ATTEMPTS = 3
BASE_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.5
MIN_ATTEMPT_S = 0.005
"""Minimum time to the deadline for another attempt."""


class RetryBudget:
    """A token bucket: each call adds `RETRY_RATIO` of a token, each retry takes one."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = BUDGET_CAPACITY

    def add_call(self) -> None:
        """Count one call that is not itself a retry."""
        self._tokens = min(BUDGET_CAPACITY, self._tokens + RETRY_RATIO)

    def take_token(self) -> bool:
        """Take a token, if there is one; return whether there was."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryReason(enum.StrEnum):
    """Why a failed attempt is retried or not."""

    RETRIED = "retried"
    MAY_HAVE_RUN = "it may have run and is not idempotent"
    RAN = "it ran"
    DEEPER = "a deeper layer has already retried it"
    ATTEMPTS = "too many attempts"
    DEADLINE = "too little time is left"
    BUDGET = "the budget is spent"


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedAttempt:
    """A failed attempt, with `attempt` counted from 1.

    `is_final` means that the response is marked as final: a layer below saw the failure and decided
    against a retry, so it must not be retried here.
    """

    service: str
    verdict: Verdict
    idempotent: bool
    attempt: int
    deadline: float
    retry_after_s: float = 0.0
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """Whether to retry; `start_at` is the start of the next attempt and unset without a retry."""

    reason: RetryReason
    start_at: float = 0.0

    @property
    def is_retried(self) -> bool:
        """Whether another attempt is made."""
        return self.reason is RetryReason.RETRIED


class RetryPolicy:
    """Decides about retries, with one retry budget for each service."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._budgets: dict[str, RetryBudget] = {}

    def add_call(self, service: str) -> None:
        """Count the first attempt of a call."""
        self._find_budget(service).add_call()

    def decide(self, failed: FailedAttempt, now: float) -> RetryDecision:
        """Decide whether to retry; a retry takes a token of the service's retry budget."""
        denial_reason = _find_denial_reason(failed)
        if denial_reason is not None:
            return RetryDecision(denial_reason)
        start_at = now + self._draw_backoff(failed)
        if start_at + MIN_ATTEMPT_S > failed.deadline:
            return RetryDecision(RetryReason.DEADLINE)
        if not self._find_budget(failed.service).take_token():
            return RetryDecision(RetryReason.BUDGET)
        return RetryDecision(RetryReason.RETRIED, start_at)

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget

    def _draw_backoff(self, failed: FailedAttempt) -> float:
        """Return the requested retry delay plus an exponential backoff with full jitter."""
        ceiling_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2 ** (failed.attempt - 1))
        return failed.retry_after_s + self._random.uniform(0.0, ceiling_s)


def _find_denial_reason(failed: FailedAttempt) -> RetryReason | None:
    if failed.is_final:
        return RetryReason.DEEPER
    if failed.verdict is Verdict.RAN:
        return RetryReason.RAN
    if not allows_retry(failed.verdict, idempotent=failed.idempotent):
        return RetryReason.MAY_HAVE_RUN
    if failed.attempt >= MAX_ATTEMPTS:
        return RetryReason.ATTEMPTS
    return None
