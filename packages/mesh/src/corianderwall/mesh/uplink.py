"""Models the outgoing link of this host, which big responses share.

If a few hosts on slow links send all big responses of a service at the same time, the queue of
their link fills up, and small responses, nested calls and messages wait behind them. So big
responses are sent one after another, slightly below the rate of the link, and a call with a big
response starts only when the link will be free for it.
"""

import math
from dataclasses import dataclass, field

from corianderwall.mesh.sizes import ResponseSizes

BIG_RATE_FRACTION = 0.85
"""Fraction of the link rate for big responses; the rest is for small ones and for messages."""
SMALL_SENDING_S = 0.015
"""Sending time up to which a response is sent at once; the link can queue a few of these."""


@dataclass(slots=True)
class Uplink:
    """Sending times on a link with the rate `bytes_per_s`; instants are monotonic seconds."""

    bytes_per_s: float = math.inf
    _free_at: float = 0.0
    sizes: ResponseSizes = field(default_factory=ResponseSizes)

    def estimate_sending_s(self, route: str) -> float:
        """Return the seconds that a response on `route` occupies the link, 0 if it is small."""
        sending_s = self.compute_sending_s(self.sizes.estimate(route))
        return sending_s if sending_s > SMALL_SENDING_S else 0.0

    def compute_sending_s(self, size: float) -> float:
        """Return the seconds for which `size` bytes occupy the link."""
        return size / (self.bytes_per_s * BIG_RATE_FRACTION)

    def is_small(self, size: int) -> bool:
        """Return whether a response of `size` bytes may be sent at once."""
        return self.compute_sending_s(size) <= SMALL_SENDING_S

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until all reserved bytes have been sent."""
        return max(0.0, self._free_at - now)

    def reserve(self, size: int, now: float) -> None:
        """Reserve the link for `size` bytes of a big response."""
        self._free_at = max(now, self._free_at) + self.compute_sending_s(size)

    def release(self, size: int) -> None:
        """Release the reservation of `size` bytes that will not be sent."""
        self._free_at -= self.compute_sending_s(size)
