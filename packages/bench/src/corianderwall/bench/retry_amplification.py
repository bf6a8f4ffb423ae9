"""Measures how retries of 17 layers multiply while one layer fails entirely."""

import argparse
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from corianderwall.model.verdict import Verdict
from corianderwall.traffic.retries import FailedAttempt, RetryPolicy

LAYERS = 17
CALLS = 20_000
DEADLINE_S = 15.0
TARGET = 1.2
FAILING_LAYERS = (2, 9, 17)
SERVICE = "s"


@dataclass(frozen=True, slots=True)
class _Failure:
    """The answer of a layer that did not serve a call."""

    verdict: Verdict
    is_final: bool


class LayeredCalls:
    """Calls that pass through all layers; each layer has a node with its own retry budget.

    The services relay a failure of the layer below as it came, which is the worst they can do.
    """

    def __init__(
        self, *, seed: int, failing_layer: int, verdict: Verdict, marks_final: bool
    ) -> None:
        self.arrivals = [0] * (LAYERS + 1)
        self._policies = [RetryPolicy(Random(seed + layer)) for layer in range(LAYERS + 1)]
        self._failing_layer = failing_layer
        self._verdict = verdict
        self._marks_final = marks_final
        self._now = 0.0

    def run(self, calls: int) -> None:
        """Send calls to the first layer."""
        for _ in range(calls):
            self._now += 1.0
            self._call_layer(1, self._now)

    def _call_layer(self, layer: int, now: float) -> _Failure | None:
        """Call a layer from the node above it, with its retries; return the failure, if any."""
        policy = self._policies[layer]
        policy.add_call(SERVICE)
        attempt = 0
        while True:
            attempt += 1
            failure = self._attempt(layer, now)
            if failure is None:
                return None
            failed = FailedAttempt(
                service=SERVICE,
                verdict=failure.verdict,
                idempotent=True,
                attempt=attempt,
                deadline=self._now + DEADLINE_S,
                is_final=failure.is_final,
            )
            decision = policy.decide(failed, now)
            if not decision.is_retried:
                return _Failure(failure.verdict, self._marks_final)
            now = decision.start_at

    def _attempt(self, layer: int, now: float) -> _Failure | None:
        self.arrivals[layer] += 1
        if layer == self._failing_layer:
            return _Failure(self._verdict, is_final=False)
        if layer == LAYERS:
            return None
        return self._call_layer(layer + 1, now)


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Let one layer fail entirely and count its calls per call at the top."""
    parser = argparse.ArgumentParser(prog="retry-amplification")
    parser.add_argument("--seed", type=int, default=4)
    parser.add_argument("--calls", type=int, default=CALLS)
    options = parser.parse_args(arguments)
    marked = _run_all(options.seed, options.calls, marks_final=True)
    unmarked = _run_all(options.seed, options.calls, marks_final=False)
    return {
        "mode": "virtual",
        "seed": options.seed,
        "layers": LAYERS,
        "calls": options.calls,
        "amplification": max(marked.values()),
        "target": TARGET,
        "by_failing_layer": marked,
        "without_mark": unmarked,
    }


def _run_all(seed: int, calls: int, *, marks_final: bool) -> dict[str, float]:
    results = {}
    for verdict in (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN):
        for layer in FAILING_LAYERS:
            layered = LayeredCalls(
                seed=seed, failing_layer=layer, verdict=verdict, marks_final=marks_final
            )
            layered.run(calls)
            results[f"{verdict.value}_{layer}"] = round(layered.arrivals[layer] / calls, 4)
    return results
