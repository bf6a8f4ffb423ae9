"""The outcome of one attempt of a call, on which limits and moves base their decisions."""

from dataclasses import dataclass

from corianderwall.model.verdict import Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptOutcome:
    """The outcome of one attempt of a call at one endpoint.

    `status` is the HTTP status, or 0 without a response. `latency_s` is the time from sending
    the request to the end of the response. `refused` is set if the upstream refused the request
    before running it. `outstanding` is the number of calls that this node had in flight at the
    endpoint when the attempt began.
    """

    service: str
    version: str
    route: str
    endpoint: str
    subscriber: str
    verdict: Verdict
    status: int
    latency_s: float
    refused: bool
    outstanding: int
    cancelled: bool = False

    @property
    def is_failure(self) -> bool:
        """Return whether the upstream failed; refused and cancelled calls do not count."""
        if self.refused or self.cancelled:
            return False
        return self.status == 0 or self.status >= 500
