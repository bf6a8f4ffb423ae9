"""The catalogue of error codes, and the exception that carries a code."""

import enum


class ErrorCode(enum.StrEnum):
    """Stable codes that appear in responses, logs and docs/ERRORS.md."""

    INVALID_ARGUMENT = "CW100"
    NOT_FOUND = "CW101"
    ALREADY_EXISTS = "CW102"
    DANGLING_REFERENCE = "CW103"
    STALE_VERSION = "CW104"
    MOVE_IN_PROGRESS = "CW105"
    DEADLINE_UNREACHABLE = "CW106"
    TOO_LARGE = "CW107"
    STILL_REFERENCED = "CW108"
    UNAUTHENTICATED = "CW200"
    FORBIDDEN = "CW201"
    CONFLICT = "CW300"
    PLATFORM_UNAVAILABLE = "CW301"
    PLATFORM_THROTTLED = "CW302"
    OUTCOME_UNKNOWN = "CW303"
    LEASE_LOST = "CW304"
    NOT_READY = "CW305"
    NO_ROUTE = "CW400"
    NO_ENDPOINT = "CW401"
    OVERLOADED = "CW402"
    DEADLINE_EXCEEDED = "CW403"
    UPSTREAM_LOST = "CW404"
    UPSTREAM_REFUSED = "CW405"
    MALFORMED_REQUEST = "CW406"
    REQUEST_TOO_LARGE = "CW407"
    CANCELLED = "CW408"
    QUARANTINED = "CW409"
    MALFORMED_MESSAGE = "CW500"
    UNKNOWN_PEER = "CW501"
    DAMAGED_UPDATE = "CW502"
    INVALID_SETTINGS = "CW600"
    INTERNAL = "CW900"


class Effect(enum.StrEnum):
    """Whether a failed change or request may have taken effect."""

    NONE = "none"
    UNKNOWN = "unknown"
    APPLIED = "applied"


class CorianderwallError(Exception):
    """An error with a stable code, a sentence for the user, and its known effect."""

    def __init__(
        self,
        code: ErrorCode,
        sentence: str,
        *,
        effect: Effect = Effect.NONE,
        retry_after_s: float = 0,
    ) -> None:
        super().__init__(f"{code.value}: {sentence}")
        self.code = code
        self.sentence = sentence
        self.effect = effect
        self.retry_after_s = retry_after_s
