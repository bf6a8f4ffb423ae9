from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.resource import Move, MovePolicy
from corianderwall.model.verdict import Verdict

OutcomeFactory = Callable[..., AttemptOutcome]


@pytest.fixture
def move() -> Move:
    return Move(
        id="m1",
        service="placements",
        from_version="v1",
        to_version="v2",
        started_unix_ms=1_000_000,
        deadline_unix_ms=1_200_000,
        stepped_unix_ms=1_000_000,
        policy=MovePolicy(min_calls_per_step=60),
    )


@pytest.fixture
def create_outcome() -> OutcomeFactory:
    default = AttemptOutcome(
        service="placements",
        version="v1",
        route="accept",
        endpoint="old-1",
        subscriber="s1",
        verdict=Verdict.RAN,
        status=200,
        latency_s=0.03,
        refused=False,
        outstanding=0,
    )

    def create(**changes: Any) -> AttemptOutcome:
        return replace(default, **changes)

    return create
