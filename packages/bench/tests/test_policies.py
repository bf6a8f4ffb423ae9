import pytest

from corianderwall.bench.policies import FAULTS, run_once

SECONDS = 3.0


@pytest.mark.parametrize("fault", [fault for fault in FAULTS if fault != "none"])
def test_the_balancer_fails_no_more_calls_than_the_least_outstanding(fault: str) -> None:
    balanced = run_once(3, SECONDS, "corianderwall", fault)
    plain = run_once(3, SECONDS, "least_outstanding", fault)
    assert balanced.failed_permille <= plain.failed_permille
    assert balanced.p99_ms <= plain.p99_ms * 1.2
