"""Splits calls so that the share holds over all nodes together, even if each has few calls."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from corianderwall.model.resource import PERMILLE

_HASH_RANGE = 2**64


def compute_phase(move_id: str, node: str, nodes: Sequence[str]) -> float:
    """Return the initial credit of a node, a fraction of a call below 1.

    The phases of all nodes are evenly distributed, and so are their first calls to the new
    version: if all nodes have equal calls, it receives at most one call more than its share.
    """

    def hash_name(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{move_id}\0phase\0{name}".encode())

    order = sorted({*nodes, node}, key=hash_name)
    offset = hash_name("") / _HASH_RANGE
    return (order.index(node) + offset) / len(order)


@dataclass(slots=True)
class TrafficSplitter:
    """Selects one node's calls to the new version by a running credit.

    With phase p and share s, floor(s * calls + p) of this node's calls go to the new version.
    """

    credit: float
    permille: int = 0
    is_stopped: bool = False

    def update(self, permille: int) -> None:
        """Set the share; the credit is kept, so that a change of share adds no extra call."""
        self.permille = permille

    def stop(self) -> None:
        """Stop sending calls to the new version permanently."""
        self.is_stopped = True

    def choose_new(self, sticky: str = "") -> bool:
        """Return whether this call goes to the new version.

        Calls with the same `sticky` value go to the same version, and stay at the new version as
        the share rises.
        """
        if self.is_stopped:
            return False
        if sticky:
            position = xxhash.xxh3_64_intdigest(sticky.encode()) * PERMILLE // _HASH_RANGE
            return position < self.permille
        self.credit += self.permille / PERMILLE
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
