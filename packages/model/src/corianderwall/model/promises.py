"""Decides which status a caller may get, as some statuses promise that its request has not run."""

from corianderwall.model.verdict import Verdict

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses after which callers repeat a request, even one that must not run twice."""
BAD_GATEWAY = 502
"""Promises nothing; replaces a promise that may be false."""


def choose_status(status: int, verdict: Verdict, *, idempotent: bool = False) -> int:
    """Return `status`, or 502 in place of a promise that cannot be kept for the request.

    A response of the endpoint to an `idempotent` request may keep its status, as running the
    request again does no harm. A status of the node itself must be true for every request.
    """
    if status not in PROMISES or verdict is Verdict.NOT_RUN or idempotent:
        return status
    return BAD_GATEWAY
