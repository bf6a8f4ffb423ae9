"""In-memory object API; a test can delay, refuse or lose each call."""

import enum
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.task import Clock, deferLater

from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.standins.objects import ObjectTable, RevisionMismatch
from corianderwall.store.api import StoredObject, combine_revision, split_revision

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

START_UNIX_S = 1_700_000_000.0


class Fault(enum.Enum):
    """The outcome that a test injects into one call."""

    NONE = enum.auto()
    DOWN = enum.auto()
    THROTTLED = enum.auto()
    REQUEST_LOST = enum.auto()
    RESPONSE_LOST = enum.auto()
    DELAYED = enum.auto()
    """The caller gets no response; a write takes effect when `flush_delayed` is called."""


FaultHook = Callable[[str, str], Awaitable[Fault]]
"""Called with the kind and the key of each call; the call waits for the fault that it returns."""


async def inject_no_fault(kind: str, key: str) -> Fault:
    """Let each call proceed at once and without a fault."""
    return Fault.NONE


class MemoryObjectApi:
    """Implements `ObjectApi` over an object table that several instances may share."""

    def __init__(
        self, table: ObjectTable | None = None, fault_hook: FaultHook = inject_no_fault
    ) -> None:
        self.table = table or ObjectTable()
        self.fault_hook = fault_hook
        self.calls: list[str] = []
        self.watch_revisions: list[int] = []
        self._delayed: list[Callable[[], object]] = []

    async def read(self, key: str) -> StoredObject | None:
        """Return the object, or None if there is none."""
        await self._admit("read", key)
        return self._load(key)

    async def write_if(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write if the revision still is the expected one; return the new revision."""

        def write() -> int:
            counter = self._find_counter(key, expected_revision)
            return combine_revision(self.table.era, self.table.write(key, value, counter))

        return await self._change("write", key, write)

    async def delete_if(self, key: str, *, expected_revision: int) -> None:
        """Delete if the revision still is the expected one."""

        def delete() -> int:
            self.table.delete(key, self._find_counter(key, expected_revision))
            return 0

        await self._change("delete", key, delete)

    async def watch(self, key: str, *, after_revision: int, wait_s: float) -> StoredObject | None:
        """Return the object if its revision is above `after_revision`, without waiting."""
        self.watch_revisions.append(after_revision)
        await self._admit("watch", key)
        stored = self._load(key)
        return stored if stored is not None and stored.revision > after_revision else None

    async def list_keys(self, prefix: str) -> tuple[str, ...]:
        """Return the sorted keys that begin with `prefix`."""
        await self._admit("list", prefix)
        return tuple(self.table.list_keys(prefix))

    def flush_delayed(self) -> None:
        """Apply the delayed writes; a write whose object has changed since has no effect."""
        delayed, self._delayed = self._delayed, []
        for change in delayed:
            try:
                change()
            except RevisionMismatch:
                continue

    def _load(self, key: str) -> StoredObject | None:
        revision = self.table.read_revision(key)
        if revision == 0:
            return None
        combined = combine_revision(self.table.era, revision)
        return StoredObject(key=key, value=self.table.read_value(key), revision=combined)

    def _find_counter(self, key: str, revision: int) -> int:
        """Return the counter of a revision, or raise `RevisionMismatch` if its era is over."""
        era, counter = split_revision(revision)
        if revision and era != self.table.era:
            raise RevisionMismatch(key)
        return counter

    async def _admit(self, kind: str, key: str) -> Fault:
        self.calls.append(f"{kind} {key}")
        fault = await self.fault_hook(kind, key)
        if fault is Fault.DOWN:
            raise CorianderwallError(ErrorCode.PLATFORM_UNAVAILABLE, "the platform is down")
        if fault is Fault.THROTTLED:
            raise CorianderwallError(ErrorCode.PLATFORM_THROTTLED, "throttled", retry_after_s=1)
        if fault is not Fault.NONE and kind not in ("write", "delete"):
            raise CorianderwallError(ErrorCode.PLATFORM_UNAVAILABLE, "no response")
        return fault

    async def _change(self, kind: str, key: str, change: Callable[[], int]) -> int:
        fault = await self._admit(kind, key)
        if fault is Fault.DELAYED:
            self._delayed.append(change)
        if fault in (Fault.DELAYED, Fault.REQUEST_LOST):
            raise _build_lost_response()
        try:
            revision = change()
        except RevisionMismatch as error:
            if fault is Fault.RESPONSE_LOST:
                raise _build_lost_response() from error
            raise CorianderwallError(
                ErrorCode.CONFLICT, "the object has another revision"
            ) from error
        if fault is Fault.RESPONSE_LOST:
            raise _build_lost_response()
        return revision


class ManualTimer:
    """A timer whose time only changes when `clock` is advanced."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.unix_offset_s = START_UNIX_S

    def read_monotonic(self) -> float:
        """Return the time of the clock in seconds."""
        return float(self.clock.seconds())

    def read_unix(self) -> float:
        """Return the Unix time, which starts at a fixed date."""
        return self.unix_offset_s + self.read_monotonic()

    def sleep(self, seconds: float) -> "Deferred[None]":
        """Return a deferred that fires once the clock has been advanced by `seconds`."""
        return deferLater(cast("Any", self.clock), seconds)


def _build_lost_response() -> CorianderwallError:
    return CorianderwallError(
        ErrorCode.OUTCOME_UNKNOWN, "the response was lost", effect=Effect.UNKNOWN
    )
