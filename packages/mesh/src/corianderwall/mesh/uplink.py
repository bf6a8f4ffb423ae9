"""The link on which this host sends, as a resource that big answers have to share.

Pattern: a few hosts behind thin links hold all big answers of a service. Sent side by side these
fill the link's queue, and every small answer, nested call and message of the host waits behind
them. Here big answers take turns a little below the link's rate, and a call with a big answer
starts only when the link will be free for it.
"""

import math
from dataclasses import dataclass, field

from corianderwall.mesh.sizes import AnswerSizes

USED_PART = 0.85
"""Part of the link's rate that big answers get; the rest is for small ones and for messages."""
SHORT_SENDING_S = 0.015
"""Sending time up to which an answer goes out at once; the queue of a link can bear a few."""


@dataclass(slots=True)
class Uplink:
    """Sending times on a link of `bytes_per_s`; instants are monotonic seconds."""

    bytes_per_s: float = math.inf
    _free_at: float = 0.0
    sizes: AnswerSizes = field(default_factory=AnswerSizes)

    def estimate_sending(self, route: str) -> float:
        """Return how long an answer of `route` occupies the link in seconds, 0 if it is short."""
        sending_s = self.compute_sending(self.sizes.estimate(route))
        return sending_s if sending_s > SHORT_SENDING_S else 0.0

    def compute_sending(self, size: float) -> float:
        """Return how long `size` bytes occupy the link, in seconds."""
        return size / (self.bytes_per_s * USED_PART)

    def is_short(self, size: int) -> bool:
        """Return whether an answer of `size` bytes may go out at once."""
        return self.compute_sending(size) <= SHORT_SENDING_S

    def estimate_wait(self, now: float) -> float:
        """Return the seconds until all that was booked has been sent."""
        return max(0.0, self._free_at - now)

    def book(self, size: int, now: float) -> None:
        """Take note that `size` bytes of big answers wait to be sent."""
        self._free_at = max(now, self._free_at) + self.compute_sending(size)

    def cancel(self, size: int) -> None:
        """Take back what was booked for bytes that will not be sent."""
        self._free_at -= self.compute_sending(size)
