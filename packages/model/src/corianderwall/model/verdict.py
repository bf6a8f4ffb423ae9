"""Whether an upstream may have executed a request."""

import enum


class Verdict(enum.Enum):
    """Whether one attempt of a request was executed, as far as is known."""

    NOT_RUN = "not_run"
    """The upstream did not start the request, so it may be sent to another endpoint."""

    MAY_HAVE_RUN = "may_have_run"
    """The request was sent, but no final response shows whether it was executed."""

    RAN = "ran"
    """The upstream responded, so the request was executed."""


def allows_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return whether a retry is safe: only idempotent requests may be executed twice."""
    if verdict is Verdict.NOT_RUN:
        return True
    return idempotent and verdict is Verdict.MAY_HAVE_RUN
