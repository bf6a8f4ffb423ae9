"""Interface of the platform's object API."""

from dataclasses import dataclass
from typing import Protocol

REVISIONS_PER_ERA = 1 << 40
"""Factor of the era in a revision; a platform gives out fewer revisions in one era."""


def combine_revision(era: int, counter: int) -> int:
    """Return the revision for the platform's `counter` in `era`.

    A platform that comes back from an earlier copy starts the next era and gives out the counters
    after that copy again. A revision of a later era is higher than all of the earlier ones.
    """
    return era * REVISIONS_PER_ERA + counter


def split_revision(revision: int) -> tuple[int, int]:
    """Return the era and the platform's counter of a revision."""
    return divmod(revision, REVISIONS_PER_ERA)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """An object stored by the platform; `revision` grows with each write and is never 0."""

    key: str
    value: bytes
    revision: int


class ObjectApi(Protocol):
    """Versioned objects with conditional updates and watches.

    Every method can raise `CorianderwallError` with `PLATFORM_UNAVAILABLE` or
    `PLATFORM_THROTTLED`, both without effect. A write can also raise `OUTCOME_UNKNOWN`, when its
    response was lost.
    """

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or None if it does not exist."""

    async def write_if(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write if the object has the expected revision (0: absent) and return the new revision.

        Raises `CONFLICT` if the object has another revision.
        """

    async def delete_if(self, key: str, *, expected_revision: int) -> None:
        """Delete the object if it has the expected revision, or raise `CONFLICT`."""

    async def watch(self, key: str, *, after_revision: int, wait_s: float) -> StoredObject | None:
        """Return the object once its revision exceeds `after_revision`, or None after `wait_s`.

        If the platform is in a later era, return the object as it is then, None if it is lost.
        """

    async def list_keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys that start with `prefix`, sorted."""
