"""Whether a request may have run at its upstream."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of one attempt of a request."""

    NOT_RUN = "not_run"
    """The upstream certainly did not start the request; it may be sent elsewhere."""

    MAY_HAVE_RUN = "may_have_run"
    """The request left this process and no final answer tells what became of it."""

    RAN = "ran"
    """The upstream answered, so the request was executed."""


def allows_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Return whether another attempt keeps a request that is not idempotent at most once."""
    if verdict is Verdict.NOT_RUN:
        return True
    return idempotent and verdict is Verdict.MAY_HAVE_RUN
