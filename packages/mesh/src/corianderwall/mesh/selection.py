"""Chooses the owner of a call by expected time, with its own zone first."""

import enum
from collections.abc import Container, Iterable
from dataclasses import dataclass
from random import Random

from corianderwall.mesh.directory import EndpointView

MAX_PROBES = 3
"""Owners that are asked for a free slot before the call waits at one of them."""
MAX_QUEUE_TRIES = 2
"""Owners at which a call tries to wait."""
LOAD_FADES_S = 1.5
"""Age at which a reported load counts nothing; calls have mostly ended by then."""
TIME_FADES_S = 8.0
"""Age at which a told time of calls counts nothing; a cold start has passed by then."""
ZONE_PART = 0.15
"""Part of a call's objective that a small answer may be later before it leaves the zone."""
BIG_ZONE_PART = 1.0
"""The same for a big answer, whose bytes between zones cost about as much as it is worth."""
CROWDED_LINK_PART = 0.5
"""Part of a call's objective that its answer may spend on the way before the link is crowded."""
FAILURE_FACTOR = 4.0
"""Factor by which an endpoint that fails each call seems slower."""
JITTER = 0.1
"""Random part of the expected time, so that nodes do not all choose the same endpoint."""
EXPLORED_PART = 0.02
"""Part of the calls that go to any endpoint, so that new and recovered ones are noticed."""
DEFAULT_SERVICE_MS = 50.0
"""Taken for the time of a call where no endpoint of the service has told one."""


@dataclass(frozen=True, slots=True)
class CallShape:
    """What of a call decides between endpoints."""

    zone: str
    objective_ms: float
    big: bool


class Reach(enum.Enum):
    """Which owners are asked, by their zone."""

    ANY = "any"
    NEAR = "near"
    FAR = "far"


@dataclass(frozen=True, slots=True)
class AskingRound:
    """A round of asking owners, at most `tries` of them."""

    may_wait: bool
    tries: int
    reach: Reach = Reach.ANY


ROUNDS = (AskingRound(may_wait=False, tries=MAX_PROBES), AskingRound(True, MAX_QUEUE_TRIES))
"""A call waits only where no owner that is asked has a free slot."""
BIG_ROUNDS = (
    AskingRound(may_wait=False, tries=MAX_PROBES, reach=Reach.NEAR),
    AskingRound(may_wait=True, tries=MAX_QUEUE_TRIES, reach=Reach.NEAR),
    AskingRound(may_wait=False, tries=MAX_PROBES, reach=Reach.FAR),
)
"""A big answer leaves the zone only if no owner there can give it in time: its bytes are dear."""


def list_candidates(
    views: list[EndpointView], shape: CallShape, round_: AskingRound, route: str, now: float
) -> list[EndpointView]:
    """Return the endpoints whose owners may be asked in this round.

    Those that have just refused a call of `route`, or any call for want of a slot, are left out.
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
    """Return the endpoint with the least expected time that is not in `tried`."""
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
        if now < view.deprioritized_until:
            expected_ms += shape.objective_ms
        if best is None or expected_ms < best_ms:
            best, best_ms = view, expected_ms
    return best


def keep_in_zone(views: list[EndpointView], shape: CallShape, now: float) -> list[EndpointView]:
    """Return the endpoints of the zone whose links carry a big answer well, or else all."""
    near = [
        view
        for view in views
        if view.record.zone == shape.zone
        and view.big_overhead.estimate_ms(now) < shape.objective_ms * CROWDED_LINK_PART
    ]
    return near or views


def estimate_ms(view: EndpointView, typical_ms: float, now: float) -> float:
    """Return the expected time of one more call at `view`, in milliseconds."""
    load = view.load
    slots = max(1, view.record.slots)
    fresh = max(0.0, 1.0 - (now - view.load_at) / LOAD_FADES_S)
    busy = max(float(view.pending), (load.running + load.waiting) * fresh)
    # What was told long ago counts less, so that a slow start is not held against an endpoint.
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
