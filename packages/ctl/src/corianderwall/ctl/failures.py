"""Exit codes of the operators' client, by kind of error."""

import enum

from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode


class ExitCode(enum.IntEnum):
    """Exit codes that scripts can rely on; click exits with 2 on a wrong command line."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    REFUSED = 3
    UNAUTHENTICATED = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    OUTCOME_UNKNOWN = 7
    UNREACHABLE = 8
    NOT_REACHED = 9
    TAKEN_BACK = 10


class NodesUnreachableError(CorianderwallError):
    """No node sent a response, and no call can have taken effect."""

    def __init__(self, sentence: str) -> None:
        super().__init__(ErrorCode.NOT_READY, sentence)


_CONFLICTS = frozenset(
    {
        ErrorCode.ALREADY_EXISTS,
        ErrorCode.STALE_VERSION,
        ErrorCode.MOVE_IN_PROGRESS,
        ErrorCode.STILL_REFERENCED,
        ErrorCode.CONFLICT,
        ErrorCode.LEASE_LOST,
    }
)
_UNAVAILABLE = frozenset(
    {
        ErrorCode.PLATFORM_UNAVAILABLE,
        ErrorCode.PLATFORM_THROTTLED,
        ErrorCode.NOT_READY,
        ErrorCode.DEADLINE_EXCEEDED,
        ErrorCode.OVERLOADED,
    }
)
_REFUSED = frozenset(
    {
        ErrorCode.INVALID_ARGUMENT,
        ErrorCode.NOT_FOUND,
        ErrorCode.DANGLING_REFERENCE,
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.TOO_LARGE,
        ErrorCode.MALFORMED_REQUEST,
        ErrorCode.REQUEST_TOO_LARGE,
    }
)
_UNAUTHENTICATED = frozenset({ErrorCode.UNAUTHENTICATED, ErrorCode.FORBIDDEN})


def choose_exit_code(error: CorianderwallError) -> ExitCode:
    """Return the exit code; an unknown effect takes precedence over the kind of error."""
    if error.effect is Effect.UNKNOWN or error.code is ErrorCode.OUTCOME_UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    if isinstance(error, NodesUnreachableError):
        return ExitCode.UNREACHABLE
    for codes, exit_code in (
        (_REFUSED, ExitCode.REFUSED),
        (_UNAUTHENTICATED, ExitCode.UNAUTHENTICATED),
        (_CONFLICTS, ExitCode.CONFLICT),
        (_UNAVAILABLE, ExitCode.UNAVAILABLE),
    ):
        if error.code in codes:
            return exit_code
    return ExitCode.INTERNAL
