import pytest

from corianderwall.bench.retry_amplification import FAILING_LAYERS, LayeredCalls
from corianderwall.model.verdict import Verdict

CALLS = 1_000
TARGET = 1.2


@pytest.mark.parametrize("layer", FAILING_LAYERS)
@pytest.mark.parametrize("verdict", [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
def test_a_failing_layer_sees_few_more_calls_than_the_top(layer: int, verdict: Verdict) -> None:
    layered = LayeredCalls(seed=3, failing_layer=layer, verdict=verdict, marks_final=True)
    layered.run(CALLS)
    assert CALLS < layered.arrivals[layer] <= CALLS * TARGET
