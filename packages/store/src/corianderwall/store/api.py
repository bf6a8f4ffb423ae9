"""The platform's object API as the rest of the system sees it."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """An object of the platform; `revision` grows with each write and is never 0."""

    key: str
    value: bytes
    revision: int


class ObjectApi(Protocol):
    """Versioned objects with conditional updates and watches.

    Every method raises `CorianderwallError` with `PLATFORM_UNAVAILABLE`, `PLATFORM_THROTTLED`
    (both without effect) or, for writes only, `OUTCOME_UNKNOWN` when the answer was lost.
    """

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or None if there is none."""

    async def write_if(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write if the revision still is the expected one (0: absent); return the new revision.

        Raises `CONFLICT` if the revision is another one.
        """

    async def delete_if(self, key: str, *, expected_revision: int) -> None:
        """Delete if the revision still is the expected one, or raise `CONFLICT`."""

    async def watch(self, key: str, *, after_revision: int, wait_s: float) -> StoredObject | None:
        """Return the object once its revision is above `after_revision`, None after `wait_s`."""

    async def list_keys(self, prefix: str) -> tuple[str, ...]:
        """Return the sorted keys that begin with `prefix`."""
