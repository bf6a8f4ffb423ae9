from dataclasses import replace
from random import Random

import pytest

from corianderwall.model.verdict import Verdict
from corianderwall.traffic.retries import (
    BUDGET_CAPACITY,
    MAX_ATTEMPTS,
    RETRY_RATIO,
    FailedAttempt,
    RetryPolicy,
    RetryReason,
)

REFUSED = FailedAttempt(
    service="s", verdict=Verdict.NOT_RUN, idempotent=False, attempt=1, deadline=9.0
)


@pytest.fixture
def policy() -> RetryPolicy:
    return RetryPolicy(Random(2))


def test_a_call_that_was_not_run_is_retried_even_if_not_idempotent(policy: RetryPolicy) -> None:
    assert policy.decide(REFUSED, 0.0).is_retried


@pytest.mark.parametrize(
    ("verdict", "idempotent", "reason"),
    [
        (Verdict.MAY_HAVE_RUN, False, RetryReason.MAY_HAVE_RUN),
        (Verdict.MAY_HAVE_RUN, True, RetryReason.RETRIED),
        (Verdict.RAN, True, RetryReason.RAN),
        (Verdict.RAN, False, RetryReason.RAN),
    ],
)
def test_a_call_that_may_have_run_is_retried_only_if_idempotent(
    policy: RetryPolicy, verdict: Verdict, idempotent: bool, reason: RetryReason
) -> None:
    failed = replace(REFUSED, verdict=verdict, idempotent=idempotent)
    assert policy.decide(failed, 0.0).reason is reason


def test_a_final_refusal_is_not_retried_by_the_layers_above(policy: RetryPolicy) -> None:
    failed = replace(REFUSED, is_final=True)
    assert policy.decide(failed, 0.0).reason is RetryReason.DEEPER


def test_attempts_and_the_deadline_end_retries(policy: RetryPolicy) -> None:
    failed = replace(REFUSED, attempt=MAX_ATTEMPTS)
    assert policy.decide(failed, 0.0).reason is RetryReason.ATTEMPTS
    late = replace(REFUSED, deadline=0.001)
    assert policy.decide(late, 0.0).reason is RetryReason.DEADLINE
    asked = replace(REFUSED, retry_after_s=10.0)
    assert policy.decide(asked, 0.0).reason is RetryReason.DEADLINE


def test_retries_are_bounded_by_a_fraction_of_the_calls(policy: RetryPolicy) -> None:
    calls, retries = 10_000, 0
    for _ in range(calls):
        policy.add_call("s")
        for attempt in range(1, MAX_ATTEMPTS):
            retries += policy.decide(replace(REFUSED, attempt=attempt), 0.0).is_retried
    assert retries <= calls * RETRY_RATIO + BUDGET_CAPACITY


def test_one_service_does_not_spend_the_budget_of_another(policy: RetryPolicy) -> None:
    while policy.decide(REFUSED, 0.0).is_retried:
        pass
    assert policy.decide(replace(REFUSED, service="other"), 0.0).is_retried


def test_a_denied_retry_takes_no_token(policy: RetryPolicy) -> None:
    for _ in range(100):
        policy.decide(replace(REFUSED, verdict=Verdict.RAN), 0.0)
        policy.decide(replace(REFUSED, deadline=0.001), 0.0)
    assert policy.decide(REFUSED, 0.0).is_retried


def test_the_backoff_is_jittered_and_honours_the_retry_after(policy: RetryPolicy) -> None:
    policies = [RetryPolicy(Random(seed)) for seed in range(50)]
    failed = replace(REFUSED, retry_after_s=1.0)
    starts = {each.decide(failed, 0.0).start_at for each in policies}
    assert min(starts) >= 1.0
    assert len(starts) == 50
