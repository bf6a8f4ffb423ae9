import pytest

from corianderwall.bench.moves import CAUTIONS, create_scenario, run_one
from corianderwall.bench.moves_traffic import BAD_KINDS, GOOD_KINDS, Kind
from corianderwall.model.resource import MoveState

DURATION_S = 180.0


def run(kind, weighting):
    scenario = create_scenario(CAUTIONS[weighting], calls_per_s=150.0, duration_s=DURATION_S)
    return run_one(kind, scenario, f"41/{kind}", is_baseline=False)


@pytest.mark.parametrize("kind", BAD_KINDS)
def test_a_bad_version_is_taken_back_with_few_calls_also_by_the_bolder_policy(kind):
    result = run(kind, "trust")
    is_ejected = kind is Kind.BAD_ENDPOINTS and result.last_bad_s < result.ended_s - 1
    assert result.state is MoveState.TAKEN_BACK or is_ejected
    assert result.cause
    assert 0 <= result.ended_s <= DURATION_S
    assert result.bad_calls < 0.02 * result.calls


@pytest.mark.parametrize("kind", GOOD_KINDS)
def test_a_version_that_is_not_bad_completes_in_time_also_by_the_more_cautious_policy(kind):
    result = run(kind, "association")
    assert result.state is MoveState.COMPLETED
    assert 0 <= result.ended_s <= DURATION_S
