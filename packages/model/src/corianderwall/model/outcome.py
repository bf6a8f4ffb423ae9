"""The outcome of one attempt of a call, from which limits and moves draw their evidence."""

from dataclasses import dataclass

from corianderwall.model.verdict import Verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptOutcome:
    """What one attempt at one endpoint came to.

    `status` is the HTTP status, 0 without an answer. `latency_s` runs from sending to the end
    of the answer. `refused` tells that the upstream shed the request before running it.
    `outstanding` counts this node's calls at the endpoint when the attempt began.
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
        """Return whether the upstream failed; refusals and cancelled calls are not failures."""
        if self.refused or self.cancelled:
            return False
        return self.status == 0 or self.status >= 500
