"""Traffic models of the measurement of moves: upstream versions that are good or bad."""

import enum
import random
from dataclasses import dataclass
from math import exp

ZONES = ("z1", "z2", "z3", "z4")
OLD_VERSION = "v1"
NEW_VERSION = "v2"
ROUTES = ("browse", "accept", "audit")
ROUTE_WEIGHTS = (0.7, 0.27, 0.03)
RARE_ROUTE = "audit"
SUBSCRIBERS = tuple(f"s{index:02d}" for index in range(20))
WRONG_SUBSCRIBER = "s00"
MEDIAN_LATENCY_S = 0.03
LOADED_OUTSTANDING = 4


class Kind(enum.StrEnum):
    """What becomes of the versions during a move."""

    FAILS_AT_ONCE = "fails_at_once"
    SLOW_AT_ONCE = "slow_at_once"
    FAILS_LATER = "fails_later"
    SLOW_LATER = "slow_later"
    FAILS_AFTER_FULL_SHARE = "fails_after_full_share"
    BAD_UNDER_LOAD = "bad_under_load"
    BAD_ON_RARE_ROUTE = "bad_on_rare_route"
    BAD_ENDPOINTS = "bad_endpoints"
    LYING_HEALTH = "lying_health"
    GOOD = "good"
    COLD_START = "cold_start"
    NOISY_OLD = "noisy_old"
    OLD_FAILING_TOO = "old_failing_too"
    WRONG_SUBSCRIBER = "wrong_subscriber"
    OVERLOADED_ZONE = "overloaded_zone"


BAD_KINDS = tuple(Kind)[:9]
GOOD_KINDS = tuple(Kind)[9:]


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint of a version, in a zone."""

    name: str
    version: str
    zone: str


PLACES = tuple(
    Place(f"{version}-{zone}", version, zone)
    for version in (OLD_VERSION, NEW_VERSION)
    for zone in ZONES
)


@dataclass(frozen=True, slots=True)
class Request:
    """What an upstream model is told of one call."""

    place: Place
    route: str
    subscriber: str
    outstanding: int
    since_start_s: float
    since_full_s: float


@dataclass(frozen=True, slots=True)
class Response:
    """What a call came to; `is_bad` marks calls that meet a bad version's fault."""

    status: int
    latency_s: float
    is_refused: bool = False
    is_bad: bool = False


@dataclass(slots=True)
class UpstreamModel:
    """Both versions' behaviour in one move of one kind; drawn from a seed.

    Instants are seconds since the move's start; `since_full_s` is below zero before full share.
    """

    kind: Kind
    rng: random.Random
    duration_s: float
    severity: float = 0.0
    slowdown: float = 1.0
    onset_s: float = 0.0
    delay_full_s: float = 0.0
    bad_place: str = ""
    bad_zone: str = ""
    old_failure_rate: float = 0.0
    noise_until_s: float = 0.0
    noise: float = 0.0

    def __post_init__(self) -> None:
        rng = self.rng
        self.severity = rng.uniform(0.2, 0.8)
        self.slowdown = rng.uniform(2.0, 4.0)
        self.onset_s = rng.uniform(0.1, 0.35) * self.duration_s
        self.delay_full_s = rng.uniform(0.5, 0.06 * self.duration_s)
        self.bad_place = rng.choice([each.name for each in PLACES if each.version == NEW_VERSION])
        self.bad_zone = rng.choice(ZONES)
        self.old_failure_rate = rng.uniform(0.05, 0.2)

    def respond(self, request: Request) -> Response:
        """Return what becomes of a call."""
        rng = self.rng
        latency = MEDIAN_LATENCY_S * rng.lognormvariate(0, 0.5)
        latency *= 1 + 0.08 * request.outstanding
        if rng.random() < 0.003:
            return Response(500, latency, is_bad=self._is_bad(request))
        if request.place.version == NEW_VERSION and self._is_bad(request):
            return self._respond_badly(latency)
        return self._respond_in_environment(request, latency)

    def _is_bad(self, request: Request) -> bool:
        if request.place.version != NEW_VERSION:
            return False
        match self.kind:
            case Kind.FAILS_AT_ONCE | Kind.SLOW_AT_ONCE | Kind.LYING_HEALTH:
                return True
            case Kind.FAILS_LATER | Kind.SLOW_LATER:
                return request.since_start_s >= self.onset_s
            case Kind.FAILS_AFTER_FULL_SHARE:
                return request.since_full_s >= self.delay_full_s
            case Kind.BAD_UNDER_LOAD:
                return request.outstanding >= LOADED_OUTSTANDING
            case Kind.BAD_ON_RARE_ROUTE:
                return request.route == RARE_ROUTE
            case Kind.BAD_ENDPOINTS:
                return request.place.name == self.bad_place
            case _:
                return False

    def _respond_badly(self, latency: float) -> Response:
        if self.kind in (Kind.SLOW_AT_ONCE, Kind.SLOW_LATER):
            return Response(200, latency * self.slowdown, is_bad=True)
        if self.rng.random() >= self.severity:
            return Response(200, latency, is_bad=True)
        if self.kind is Kind.LYING_HEALTH:
            return Response(500, 0.001, is_bad=True)
        return Response(self.rng.choice((500, 503, 0)), latency, is_bad=True)

    def _respond_in_environment(self, request: Request, latency: float) -> Response:
        rng = self.rng
        match self.kind:
            case Kind.COLD_START if request.place.version == NEW_VERSION:
                latency *= 1 + 6 * exp(-request.since_start_s / 5)
                if rng.random() < 0.3 * exp(-request.since_start_s / 5):
                    return Response(503, 0.002, is_refused=True)
            case Kind.NOISY_OLD if request.place.version == OLD_VERSION:
                return self._respond_noisily(request, latency)
            case Kind.OLD_FAILING_TOO if rng.random() < self.old_failure_rate:
                return Response(500, latency)
            case Kind.WRONG_SUBSCRIBER if request.subscriber == WRONG_SUBSCRIBER:
                return Response(rng.choice((400, 500, 500)), latency)
            case Kind.OVERLOADED_ZONE if (
                request.place.zone == self.bad_zone and request.since_start_s >= self.onset_s
            ):
                return self._respond_overloaded(latency * 2.5)
            case _:
                pass
        return Response(200, latency)

    def _respond_noisily(self, request: Request, latency: float) -> Response:
        if request.since_start_s >= self.noise_until_s:
            self.noise_until_s = request.since_start_s + self.rng.uniform(1, 8)
            self.noise = max(0.0, self.rng.uniform(-0.1, 0.1))
        if self.rng.random() < self.noise:
            return Response(500, latency)
        return Response(200, latency * (1 + 10 * self.noise * self.rng.random()))

    def _respond_overloaded(self, latency: float) -> Response:
        chance = self.rng.random()
        if chance < 0.1:
            return Response(503, 0.002, is_refused=True)
        if chance < 0.15:
            return Response(500, latency)
        return Response(200, latency)
