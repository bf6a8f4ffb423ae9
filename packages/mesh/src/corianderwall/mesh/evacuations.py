"""The zones whose endpoints get no calls: a register that all nodes merge in the same way."""

from collections.abc import Iterable
from typing import Protocol

import msgspec

from corianderwall.mesh.messages import EvacuationState, Refusal
from corianderwall.mesh.source import EvacuationChange

HOLD_S = 5.0
"""Seconds for which a zone stays evacuated after the store has come back without its evacuation.
Within this time the operators write again what the store has lost."""

_Order = tuple[int, int, tuple[str, ...]]


class Evacuations:
    """Holds the newest known state; instants are monotonic seconds.

    A zone is closed while its evacuation is in the store, and for `HOLD_S` after the store has
    started a new era without it. A zone that has been evacuated in the new era is not held: there
    its deletion is the operator's own.
    """

    def __init__(self) -> None:
        self.state: EvacuationState | None = None
        self.hold_until = 0.0
        self._held: frozenset[str] = frozenset()

    def merge(self, state: EvacuationState | None, now: float) -> bool:
        """Adopt `state` if it is newer; return whether its era or its zones differ.

        The revision of the store grows with each write of any kind, so a newer revision alone is
        adopted without a report: only the order of later states depends on it.
        """
        former = self.state
        if state is None or (former is not None and _make_key(state) <= _make_key(former)):
            return False
        # The sender may have known zones in an earlier era that this node has never heard of.
        held = frozenset(state.held)
        until = now + state.held_left_s if held else 0.0
        if former is not None and former.era != state.era:
            held, until = held | self.list_closed(now), now + HOLD_S
        elif former is not None:
            held, until = held | self._list_held(now), max(until, self.hold_until)
        self._held = held - frozenset(state.zones)
        self.hold_until = until if self._held else 0.0
        self.state = state
        return former is None or (former.era, former.zones) != (state.era, state.zones)

    def list_closed(self, now: float) -> frozenset[str]:
        """Return the zones whose endpoints get no calls."""
        if self.state is None:
            return frozenset()
        return self._list_held(now).union(self.state.zones)

    def make_state(self, now: float) -> EvacuationState | None:
        """Return the state for a message, None if none is known."""
        held = self._list_held(now)
        if self.state is None or not held:
            return self.state
        return msgspec.structs.replace(
            self.state, held=tuple(sorted(held)), held_left_s=self.hold_until - now
        )

    def _list_held(self, now: float) -> frozenset[str]:
        return self._held if now < self.hold_until else frozenset()


class ZoneGuard(Protocol):
    """Tells an owner whether its endpoint may get calls."""

    def find_refusal(self) -> Refusal | None:
        """Return why the endpoint may get no calls, None if it may."""

    def report_refusal(self) -> EvacuationState | None:
        """Count a call that was refused as evacuated; return the state for its entry."""


class OpenZone:
    """The guard of a zone that is never evacuated."""

    def find_refusal(self) -> Refusal | None:
        """Return None."""
        return None

    def report_refusal(self) -> EvacuationState | None:
        """Return None."""
        return None


def apply_changes(zones: Iterable[str], changes: Iterable[EvacuationChange]) -> frozenset[str]:
    """Return the evacuated zones after `changes`, which are in the order of the store."""
    result = set(zones)
    for change in changes:
        if change.ended:
            result.discard(change.zone)
        else:
            result.add(change.zone)
    return frozenset(result)


def _make_key(state: EvacuationState) -> _Order:
    """Return the key by which all nodes order states; the zones only make it total."""
    return (state.era, state.revision, state.zones)
