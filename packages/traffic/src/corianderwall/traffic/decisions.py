"""Results of admission control at the owner of an endpoint."""

from dataclasses import dataclass

from corianderwall.model.errors import ErrorCode


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call runs now and must be ended with `finish` or `cancel`."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Queued:
    """The call is queued; it is admitted or refused by `expires_at`."""

    ticket: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The call has not run and will not run; `retry_after_s` is an estimate with jitter.

    `over_share` means that the subscriber exceeds its share, not that the endpoint is full. Such a
    refusal is final and must not count against the endpoint.
    """

    ticket: int
    code: ErrorCode
    retry_after_s: float
    over_share: bool


Decision = Admitted | Queued | Refused


@dataclass(frozen=True, slots=True)
class EndpointPressure:
    """Which calls must go through the owner: all of them, or those of some subscribers."""

    saturated: bool
    over_share: tuple[str, ...]
