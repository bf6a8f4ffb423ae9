"""Keeps the share of the new version in total over all nodes, also when each has few calls."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from corianderwall.model.resource import PERMILLE

_HASH_RANGE = 2**64


def compute_phase(move_id: str, node: str, nodes: Sequence[str]) -> float:
    """Return the part of a call with which a node starts counting, below 1.

    The phases of all nodes are spread evenly, so that their first calls to the new version fall
    evenly too: of N nodes with equal calls no more than the share plus one call go there.
    """

    def weigh(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{move_id}\0phase\0{name}".encode())

    order = sorted({*nodes, node}, key=weigh)
    offset = weigh("") / _HASH_RANGE
    return (order.index(node) + offset) / len(order)


@dataclass(slots=True)
class ShareGate:
    """One node's choice of calls for the new version: every 1/share-th, by a running credit.

    With phase p and share s, floor(s * calls + p) of this node's calls go to the new version.
    """

    credit: float
    permille: int = 0
    is_closed: bool = False

    def update(self, permille: int) -> None:
        """Set the share; the credit is kept, so that a change of share grants no extra call."""
        self.permille = permille

    def close(self) -> None:
        """Send nothing to the new version from now on, for good."""
        self.is_closed = True

    def choose_new(self, sticky: str = "") -> bool:
        """Return whether this call goes to the new version.

        Calls with the same `sticky` value stay together and, as the share rises, never go back.
        """
        if self.is_closed:
            return False
        if sticky:
            place = xxhash.xxh3_64_intdigest(sticky.encode()) * PERMILLE // _HASH_RANGE
            return place < self.permille
        self.credit += self.permille / PERMILLE
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
