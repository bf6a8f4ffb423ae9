"""Chooses the owner of a call by expected latency, preferring the zone of the entry."""

import enum
from collections.abc import Container, Iterable
from dataclasses import dataclass
from random import Random

from corianderwall.mesh.directory import EndpointView

MAX_PROBES = 3
"""Owners that are asked for a free slot before the call is queued at one of them."""
MAX_QUEUE_TRIES = 2
"""Owners that are asked to queue a call."""
LOAD_FADES_S = 1.5
"""Age at which a load report no longer counts; most of its calls have ended by then."""
TIME_FADES_S = 8.0
"""Age at which a reported call time no longer counts; a cold start is over by then."""
ZONE_PART = 0.15
"""Latency penalty for a small response from another zone, as a fraction of the objective."""
BIG_ZONE_PART = 1.0
"""The same for a big response, whose transfer between zones costs about what it is worth."""
CROWDED_LINK_PART = 0.5
"""Fraction of the objective spent between the nodes from which a link counts as crowded."""
FAILURE_FACTOR = 4.0
"""Added to the latency factor of an endpoint whose calls all fail."""
JITTER = 0.1
"""Random fraction added to the latency, so that nodes don't all choose the same endpoint."""
EXPLORED_PART = 0.02
"""Fraction of calls sent to a random endpoint, to notice new and recovered endpoints."""
DEFAULT_SERVICE_MS = 50.0
"""Call time assumed if no endpoint of the service has reported one."""


@dataclass(frozen=True, slots=True)
class CallShape:
    """The properties of a call that matter for the choice of an endpoint."""

    zone: str
    objective_ms: float
    big: bool


class Reach(enum.Enum):
    """The zones whose owners are asked: any, the zone of the entry or the other zones."""

    ANY = "any"
    NEAR = "near"
    FAR = "far"


@dataclass(frozen=True, slots=True)
class AskingRound:
    """A round in which at most `tries` owners are asked to run or, if `may_wait`, queue a call."""

    may_wait: bool
    tries: int
    reach: Reach = Reach.ANY


ROUNDS = (AskingRound(may_wait=False, tries=MAX_PROBES), AskingRound(True, MAX_QUEUE_TRIES))
"""A call is queued only if none of the owners that are asked has a free slot."""
BIG_ROUNDS = (
    AskingRound(may_wait=False, tries=MAX_PROBES, reach=Reach.NEAR),
    AskingRound(may_wait=True, tries=MAX_QUEUE_TRIES, reach=Reach.NEAR),
    AskingRound(may_wait=False, tries=MAX_PROBES, reach=Reach.FAR),
)
"""Other zones are asked only if no owner of the zone can serve the call in time.

Big responses are costly to send between zones.
"""


def list_candidates(
    views: list[EndpointView], shape: CallShape, round_: AskingRound, route: str, now: float
) -> list[EndpointView]:
    """Return the endpoints whose owners may be asked in this round.

    Rounds without waiting skip endpoints that have just had no free slot; rounds with waiting skip
    endpoints that have just refused a call on `route` as late.
    """
    if round_.may_wait:
        views = [view for view in views if view.late_until.get(route, 0.0) <= now]
    if round_.reach is Reach.NEAR:
        views = keep_in_zone(views, shape, now)
    elif round_.reach is Reach.FAR:
        views = [view for view in views if view.record.zone != shape.zone]
    if not round_.may_wait:
        views = [view for view in views if view.full_until <= now]
    return views


def choose_endpoint(
    views: Iterable[EndpointView],
    shape: CallShape,
    tried: Container[str],
    now: float,
    random: Random,
) -> EndpointView | None:
    """Return the endpoint with the lowest expected latency that is not in `tried`."""
    candidates = [view for view in views if view.record.id not in tried]
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    if not shape.big and random.random() < EXPLORED_PART:
        return random.choice(candidates)
    typical_ms = _compute_typical(candidates, now)
    best: EndpointView | None = None
    best_ms = 0.0
    for view in candidates:
        overhead = view.big_overhead if shape.big else view.small_overhead
        expected_ms = estimate_ms(view, typical_ms, now) + overhead.estimate_ms(now)
        expected_ms *= 1 + JITTER * random.random()
        if view.record.zone != shape.zone:
            expected_ms += shape.objective_ms * (BIG_ZONE_PART if shape.big else ZONE_PART)
        if now < view.rest_until:
            expected_ms += shape.objective_ms
        if best is None or expected_ms < best_ms:
            best, best_ms = view, expected_ms
    return best


def keep_in_zone(views: list[EndpointView], shape: CallShape, now: float) -> list[EndpointView]:
    """Return the endpoints of the zone whose links are not crowded, or all endpoints if none."""
    near = [
        view
        for view in views
        if view.record.zone == shape.zone
        and view.big_overhead.estimate_ms(now) < shape.objective_ms * CROWDED_LINK_PART
    ]
    return near or views


def estimate_ms(view: EndpointView, typical_ms: float, now: float) -> float:
    """Return the expected time of one more call at the endpoint, in milliseconds."""
    load = view.load
    slots = max(1, view.record.slots)
    fresh = max(0.0, 1.0 - (now - view.load_at) / LOAD_FADES_S)
    busy = max(float(view.pending), (load.running + load.waiting) * fresh)
    # Old reports count less, so that an endpoint recovers from the slow calls of a cold start.
    believed = max(0.0, 1.0 - (now - view.load_at) / TIME_FADES_S) if load.service_ms else 0.0
    service_ms = typical_ms + (load.service_ms - typical_ms) * believed
    crowding = max(0.0, busy + 1 - slots) / slots
    use = 0.3 * min(1.0, busy / slots)
    failing = 1 + FAILURE_FACTOR * load.failures
    return service_ms * (1 + use + crowding) * failing


def _compute_typical(views: list[EndpointView], now: float) -> float:
    told = [view for view in views if view.load.service_ms > 0]
    recent = [view for view in told if now - view.load_at < TIME_FADES_S] or told
    if not recent:
        return DEFAULT_SERVICE_MS
    return sum(view.load.service_ms for view in recent) / len(recent)
