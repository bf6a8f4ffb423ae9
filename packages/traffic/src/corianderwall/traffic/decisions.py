"""What the owner of an endpoint decides about calls."""

from dataclasses import dataclass

from corianderwall.model.errors import ErrorCode


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call runs now; `finish` or `cancel` must follow."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits; it is admitted or refused later, at `give_up_at` at the latest."""

    ticket: int
    give_up_at: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not run and will not be; `retry_after_s` is an estimate with jitter.

    `over_share` tells that the subscriber asks for too much, not that the endpoint is full: the
    refusal is final and says nothing about the endpoint.
    """

    ticket: int
    code: ErrorCode
    retry_after_s: float
    over_share: bool


Decision = Admitted | Queued | Refused


@dataclass(frozen=True, slots=True)
class EndpointPressure:
    """Which calls must come through the owner."""

    saturated: bool
    over_share: tuple[str, ...]
