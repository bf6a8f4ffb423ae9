"""Chooses the owner of a call by expected latency, preferring the zone of the entry."""

import enum
from collections.abc import Container, Iterable
from dataclasses import dataclass
from random import Random

from corianderwall.mesh.directory import EndpointView
from corianderwall.mesh.pacedchoice import choose_paced
from corianderwall.mesh.slowdown import fade

MAX_PROBES = 3
"""Owners that are asked for a free slot before the call is queued at one of them."""
MAX_QUEUE_TRIES = 2
"""Owners that are asked to queue a call."""
LOAD_DECAY_S = 1.5
"""Age at which a load report no longer counts; most of its calls have ended by then."""
CALL_TIME_DECAY_S = 8.0
"""Age at which a reported call time no longer counts; a cold start is over by then."""
BIG_CALL_BYTES = 16_384
"""Size of body and response together above which a call counts as big."""
OTHER_ZONE_PENALTY = 0.15
"""Latency penalty for a call to another zone that moves no bytes, as a fraction of the objective.
It grows with the bytes that have to cross."""
BIG_OTHER_ZONE_PENALTY = 1.0
"""The same for a big call, whose transfer between zones costs about what it is worth."""
LATE_PENALTY = 2.0
"""Factor on the time by which a call is expected to miss its objective, as a late response is worth
far less than a slow one."""
LATE_MARGIN = 1.3
"""Factor on the expected time of a call when checking whether it will meet its objective."""
CROWDED_LINK_FRACTION = 0.5
"""Response overhead from which a link counts as crowded, as a fraction of the objective."""
FAILURE_PENALTY = 4.0
"""Added to the latency factor of an endpoint whose calls all fail."""
JITTER = 0.1
"""Random fraction added to the latency, so that nodes don't all choose the same endpoint."""
EXPLORATION_FRACTION = 0.02
"""Fraction of calls sent to a random endpoint, to notice new and recovered endpoints."""
DRAWN_NEAR = 2
"""Endpoints of the zone that are compared if endpoints report their speed; with more, the busiest
one got over 1.4 times the mean load by its speed in the model of test_slowdown."""
DRAWN_FAR = 1
"""Endpoints of other zones that are compared with these."""
BUSY_FRACTION = 0.5
"""Fraction of taken slots from which calls are spread by speed. With most slots free the fastest
endpoint serves a call soonest: at 0.3 of the load 0.981 of the calls of a model with 74 endpoints
were in time instead of 0.973."""
DEFAULT_SERVICE_MS = 50.0
"""Call time assumed if no endpoint of the service has reported one."""


@dataclass(frozen=True, slots=True)
class CallTraits:
    """The properties of a call that matter for the choice of an endpoint.

    `moved_bytes` is the size of its body and of the expected response.
    """

    zone: str
    objective_ms: float
    moved_bytes: float

    @property
    def big(self) -> bool:
        """Return whether the call should not leave the zone of the entry."""
        return self.moved_bytes > BIG_CALL_BYTES

    @property
    def other_zone_penalty_ms(self) -> float:
        """Return the latency that it is worth to keep the call in the zone of the entry."""
        part = min(1.0, self.moved_bytes / BIG_CALL_BYTES)
        span = BIG_OTHER_ZONE_PENALTY - OTHER_ZONE_PENALTY
        return self.objective_ms * (OTHER_ZONE_PENALTY + span * part)


class Reach(enum.Enum):
    """The zones whose owners are asked: any, the zone of the entry or the other zones."""

    ANY = "any"
    NEAR = "near"
    FAR = "far"


@dataclass(frozen=True, slots=True)
class SelectionRound:
    """A round that asks at most `max_owners` owners to run the call, or queue it if `may_wait`."""

    may_wait: bool
    max_owners: int
    reach: Reach = Reach.ANY


ROUNDS = (
    SelectionRound(may_wait=False, max_owners=MAX_PROBES),
    SelectionRound(True, MAX_QUEUE_TRIES),
)
"""A call is queued only if none of the owners that are asked has a free slot."""
BIG_ROUNDS = (
    SelectionRound(may_wait=False, max_owners=MAX_PROBES, reach=Reach.NEAR),
    SelectionRound(may_wait=True, max_owners=MAX_QUEUE_TRIES, reach=Reach.NEAR),
    SelectionRound(may_wait=False, max_owners=MAX_PROBES, reach=Reach.FAR),
)
"""Other zones are asked only if no owner of the zone can serve the call in time.

Big bodies and responses are costly to send between zones.
"""


def list_candidates(
    views: list[EndpointView], traits: CallTraits, round_: SelectionRound, route: str, now: float
) -> list[EndpointView]:
    """Return the endpoints whose owners may be asked in this round.

    Rounds without waiting skip endpoints that have just had no free slot; rounds with waiting skip
    endpoints that have just refused a call on `route` as late.
    """
    if round_.may_wait:
        views = [view for view in views if view.late_until.get(route, 0.0) <= now]
    if round_.reach is Reach.NEAR:
        views = prefer_zone(views, traits, now)
    elif round_.reach is Reach.FAR:
        views = [view for view in views if view.record.zone != traits.zone]
    if not round_.may_wait:
        views = [view for view in views if view.full_until <= now]
    return views


def choose_endpoint(
    views: Iterable[EndpointView],
    traits: CallTraits,
    excluded: Container[str],
    now: float,
    random: Random,
) -> EndpointView | None:
    """Return the endpoint with the lowest expected latency that is not in `excluded`."""
    candidates = [view for view in views if view.record.id not in excluded]
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    if not traits.big and random.random() < EXPLORATION_FRACTION:
        return random.choice(candidates)
    typical_ms = _compute_typical_ms(candidates, now)
    paced = choose_paced(candidates, typical_ms, random)
    if paced is not None:
        return paced
    candidates = [view for view in candidates if view.load.cold_per_s is None]
    by_speed = any(view.reports_speed for view in candidates) and is_busy(candidates, now)
    if by_speed:
        candidates = draw_by_speed(candidates, traits.zone, typical_ms, now, random)

    def rate(view: EndpointView) -> float:
        return _rate_endpoint(view, traits, typical_ms, now, random, by_speed=by_speed)

    return min(candidates, key=rate, default=None)


def _rate_endpoint(
    view: EndpointView,
    traits: CallTraits,
    typical_ms: float,
    now: float,
    random: Random,
    *,
    by_speed: bool,
) -> float:
    """Return the expected latency of a call in ms, with what speaks against the endpoint."""
    overhead = view.big_overhead if traits.big else view.small_overhead
    expected_ms = estimate_call_ms(view, typical_ms, now) + overhead.estimate_ms(now)
    expected_ms *= 1 + JITTER * random.random()
    late_ms = max(0.0, expected_ms * LATE_MARGIN - traits.objective_ms)
    if by_speed:
        # The draw has counted the speed; counting it twice would load the fast ones most.
        expected_ms *= typical_ms / _estimate_service_ms(view, typical_ms, now)
    expected_ms += LATE_PENALTY * late_ms
    if view.record.zone != traits.zone:
        expected_ms += traits.other_zone_penalty_ms
    if now < view.deprioritized_until:
        expected_ms += traits.objective_ms
    return expected_ms


def is_busy(views: Iterable[EndpointView], now: float) -> bool:
    """Return whether the recent reports show that many of the slots are taken."""
    recent = [view for view in views if now - view.load_at < LOAD_DECAY_S]
    slots = sum(view.record.slots for view in recent)
    busy = sum(
        min(view.record.slots, max(view.pending, view.load.running + view.load.waiting))
        for view in recent
    )
    return busy >= slots * BUSY_FRACTION > 0


def draw_by_speed(
    views: list[EndpointView], zone: str, typical_ms: float, now: float, random: Random
) -> list[EndpointView]:
    """Return a few endpoints of the zone and one of the others, drawn by how fast they are.

    Each endpoint is then loaded in proportion to its speed, however old the reports are. The best
    of all would get the calls of all entries until their reports change.
    """
    near = [view for view in views if view.record.zone == zone]
    far = [view for view in views if view.record.zone != zone]
    drawn: list[EndpointView] = []
    for group, count in ((near, DRAWN_NEAR), (far, DRAWN_FAR if near else DRAWN_NEAR)):
        if group:
            speeds = [1.0 / _estimate_service_ms(view, typical_ms, now) for view in group]
            drawn += random.choices(group, speeds, k=count)
    return drawn


def prefer_zone(views: list[EndpointView], traits: CallTraits, now: float) -> list[EndpointView]:
    """Return the endpoints of the zone whose links are not crowded, or all endpoints if none."""
    near = [
        view
        for view in views
        if view.record.zone == traits.zone
        and view.big_overhead.estimate_ms(now) < traits.objective_ms * CROWDED_LINK_FRACTION
    ]
    return near or views


def estimate_call_ms(view: EndpointView, typical_ms: float, now: float) -> float:
    """Return the expected time of one more call at the endpoint, in milliseconds."""
    load = view.load
    slots = max(1, view.record.slots)
    fresh = max(0.0, 1.0 - (now - view.load_at) / LOAD_DECAY_S)
    busy = max(float(view.pending), (load.running + load.waiting) * fresh)
    service_ms = _estimate_service_ms(view, typical_ms, now)
    overload = max(0.0, busy + 1 - slots) / slots
    utilisation = 0.3 * min(1.0, busy / slots)
    failure_factor = 1 + FAILURE_PENALTY * load.failures
    return service_ms * (1 + utilisation + overload) * failure_factor


def _estimate_service_ms(view: EndpointView, typical_ms: float, now: float) -> float:
    load, age_s = view.load, now - view.load_at
    # Old reports count less, so that an endpoint recovers from the slow calls of a cold start.
    weight = max(0.0, 1.0 - age_s / CALL_TIME_DECAY_S) if load.service_ms else 0.0
    service_ms = typical_ms + (load.service_ms - typical_ms) * weight
    return service_ms * fade(load.slowdown, age_s)


def _compute_typical_ms(views: list[EndpointView], now: float) -> float:
    reported = [view for view in views if view.load.service_ms > 0]
    recent = [view for view in reported if now - view.load_at < CALL_TIME_DECAY_S] or reported
    if not recent:
        return DEFAULT_SERVICE_MS
    return sum(view.load.service_ms for view in recent) / len(recent)
