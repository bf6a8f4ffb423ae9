"""Storage of the head, the newest configuration, which only conditional updates change."""

import enum
from dataclasses import dataclass
from functools import partial
from random import Random

from twisted.internet.defer import DeferredLock

from corianderwall.model.audit import AuditRecord, Head
from corianderwall.model.change import Operation
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Snapshot
from corianderwall.store.api import ObjectApi, StoredObject
from corianderwall.store.archive import Archive, SearchResult, is_older_than_operation
from corianderwall.store.backoff import Backoff
from corianderwall.store.commit import Commit, CommitResult, find_record
from corianderwall.store.document import (
    EMPTY_HEAD,
    HEAD_KEY,
    PartObject,
    StoredHead,
    decode_head,
    encode_head,
    join_head,
)
from corianderwall.store.operation import parse_created_unix_ms
from corianderwall.store.retry import Retrier
from corianderwall.store.timer import Timer

SETTLED_AFTER_MS = 120_000
"""Age of an operation from which none of its writes can be in flight."""

RETRY_BACKOFF = Backoff(base_s=0.02, cap_s=2.0)
CACHED_HEAD_TTL_S = 5.0
"""Time for which a head that this node wrote is used as a base without reading it again."""

CONFLICT_BACKOFF = Backoff(base_s=0.01, cap_s=0.1)
"""Spreads competing writers; after a long delay, a writer would only lose again."""


class OperationState(enum.StrEnum):
    """Outcome of an operation, as far as it is known."""

    APPLIED = "applied"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationOutcome:
    """The state of an operation, with its record if it was applied."""

    state: OperationState
    record: AuditRecord | None = None


class HeadStore:
    """Reads and changes the head; deadlines are times of the timer's monotonic clock."""

    def __init__(self, api: ObjectApi, timer: Timer, random: Random) -> None:
        self.archive = Archive(api)
        self._api = api
        self._timer = timer
        self._retrier = Retrier(timer, random, RETRY_BACKOFF)
        self._conflict_retrier = Retrier(timer, random, CONFLICT_BACKOFF)
        self._lock = DeferredLock()
        self._newest: StoredHead | None = None
        self._cached_head: StoredHead | None = None
        self._cached_until = 0.0

    async def read_head(self, *, deadline: float) -> StoredHead:
        """Return the newest head, or an empty one if none was ever written."""

        async def read() -> StoredHead:
            stored = await self._api.read(HEAD_KEY)
            return EMPTY_HEAD if stored is None else await load_head(self._api, stored)

        return await self._retrier.run(read, deadline=deadline)

    async def read_base(self, *, deadline: float) -> StoredHead:
        """Return the head on which to base a change, after restoring it if the platform lost it."""
        found = await self.read_head(deadline=deadline)
        newest = self._newest
        if newest is None or found.head.version >= newest.head.version:
            return found
        await self.restore_head(found, deadline=deadline)
        return await self.read_head(deadline=deadline)

    def remember_head(self, stored: StoredHead) -> None:
        """Keep the newest head that is active, in case the platform loses it."""
        if self._newest is None or stored.head.version > self._newest.head.version:
            self._newest = stored

    async def restore_head(self, found: StoredHead, *, deadline: float) -> None:
        """Write the newest remembered head over `found`, an earlier one in a copy of the platform.

        Otherwise the next change would get a version that the nodes have already activated. Raise
        `CONFLICT` if `found` is no earlier state of the remembered head.
        """
        newest = self._newest
        if newest is None or found.head.version >= newest.head.version:
            return
        if not _precedes(found.head, newest.head):
            raise CorianderwallError(
                ErrorCode.CONFLICT,
                f"the platform has another version {found.head.version} than the active one had",
            )
        encoded = encode_head(newest.head, newest.undo, found.parts)
        await self.write_prerequisites(found, encoded.part_objects, deadline=deadline)
        try:
            await self.replace_head(found, encoded.value)
        except CorianderwallError as error:
            # Another node has restored it first, or a change was made meanwhile.
            if error.code is not ErrorCode.CONFLICT:
                raise

    async def commit(
        self, operation: Operation, *, deadline: float, repeated: bool = False
    ) -> CommitResult:
        """Apply the operation to the newest head once, even if responses are lost.

        `repeated` states that the operation may have been sent before, so the archive is searched
        as well. Raises `OUTCOME_UNKNOWN` if a lost response can't be resolved in time. Any other
        error, of the change or of the platform, means that the operation had no effect.
        """
        # Concurrent changes through the same node would only conflict, so they wait here.
        await self._lock.acquire()
        try:
            return await Commit(self, operation, deadline, repeated).run()
        finally:
            self._lock.release()

    async def resolve(self, operation_id: str, *, deadline: float) -> OperationOutcome:
        """Return the outcome of an operation that ended with an unknown outcome."""
        stored = await self.read_head(deadline=deadline)
        record = find_record(stored.head.recent, operation_id)
        if record is not None:
            return OperationOutcome(state=OperationState.APPLIED, record=record)
        result = await self.search_archive(stored, operation_id, deadline=deadline)
        if result.record is not None:
            return OperationOutcome(state=OperationState.APPLIED, record=result.record)
        created_unix_ms = parse_created_unix_ms(operation_id)
        is_settled = (
            created_unix_ms is not None
            and self.read_unix_ms() - created_unix_ms >= SETTLED_AFTER_MS
        )
        if is_settled and result.is_complete:
            return OperationOutcome(state=OperationState.NOT_APPLIED)
        return OperationOutcome(state=OperationState.UNKNOWN)

    async def read_snapshot_at(self, version: int, *, deadline: float) -> Snapshot:
        """Return the snapshot of a version, or raise `NOT_FOUND` if it is no longer kept."""
        stored = await self.read_head(deadline=deadline)
        return await self._retrier.run(
            lambda: self.archive.rebuild_snapshot(stored, version), deadline=deadline
        )

    async def read_audit(
        self, *, before_version: int | None, limit: int, deadline: float
    ) -> tuple[AuditRecord, ...]:
        """Return up to `limit` records of the versions before `before_version`, newest first."""
        stored = await self.read_head(deadline=deadline)
        before = stored.head.version + 1 if before_version is None else before_version
        return await self._retrier.run(
            lambda: self.archive.read_records(stored, before_version=before, limit=limit),
            deadline=deadline,
        )

    async def search_archive(
        self, stored: StoredHead, operation_id: str, *, deadline: float
    ) -> SearchResult:
        """Search the archive for a record that the head no longer contains."""
        recent = stored.head.recent
        if not recent or is_older_than_operation(recent[0], parse_created_unix_ms(operation_id)):
            return SearchResult(is_complete=True)
        return await self.archive.find_operation(
            operation_id,
            before_version=recent[0].to_version,
            retrier=self._retrier,
            deadline=deadline,
        )

    async def read_record(
        self, stored: StoredHead, version: int, *, deadline: float
    ) -> AuditRecord | None:
        """Return the record of a version that is not newer than the head."""
        records = await self._retrier.run(
            lambda: self.archive.read_records(stored, before_version=version + 1, limit=1),
            deadline=deadline,
        )
        return records[0] if records else None

    async def write_prerequisites(
        self, base: StoredHead, part_objects: tuple[PartObject, ...], *, deadline: float
    ) -> None:
        """Write the objects that must exist before the next head; each write is idempotent."""
        for part_object in part_objects:
            if part_object.reference not in base.parts:
                await self._retrier.run(partial(self._write_part, part_object), deadline=deadline)
        await self._retrier.run(lambda: self.archive.archive_head(base), deadline=deadline)

    def cache_head(self, stored: StoredHead) -> None:
        """Cache a head that was just written as the base of the next change through this node."""
        self.remember_head(stored)
        self._cached_head = stored
        self._cached_until = self._timer.read_monotonic() + CACHED_HEAD_TTL_S

    def take_cached_head(self) -> StoredHead | None:
        """Return and clear the cached head, which another node may have replaced since."""
        cached, self._cached_head = self._cached_head, None
        return cached if self._timer.read_monotonic() < self._cached_until else None

    async def replace_head(self, base: StoredHead, value: bytes) -> int:
        """Write the next head if `base` is still the newest, and return the new revision."""
        return await self._api.write_if(HEAD_KEY, value, expected_revision=base.revision)

    async def wait_before_retry(
        self, attempt: int, error: CorianderwallError, *, deadline: float
    ) -> bool:
        """Wait before the next attempt of a commit; return False if no time is left."""
        is_conflict = error.code is ErrorCode.CONFLICT
        retrier = self._conflict_retrier if is_conflict else self._retrier
        return await retrier.wait_before_retry(attempt, error.retry_after_s, deadline=deadline)

    async def require_empty_archive(self, *, deadline: float) -> None:
        """Raise `DAMAGED_UPDATE` if version 1 is archived, which means that the head was lost."""
        first = await self._retrier.run(lambda: self.archive.read(1), deadline=deadline)
        if first is not None:
            raise CorianderwallError(
                ErrorCode.DAMAGED_UPDATE, "the head object is missing but versions are archived"
            )

    def is_past(self, deadline: float) -> bool:
        """Return whether the deadline has passed."""
        return self._timer.read_monotonic() >= deadline

    def read_unix_ms(self) -> int:
        """Return the time of the wall clock in milliseconds."""
        return int(self._timer.read_unix() * 1000)

    async def _write_part(self, part_object: PartObject) -> None:
        try:
            await self._api.write_if(
                part_object.reference.key, part_object.body, expected_revision=0
            )
        except CorianderwallError as error:
            # The key contains the digest, so an existing part has the same content.
            if error.code is not ErrorCode.CONFLICT:
                raise


def _precedes(earlier: Head, later: Head) -> bool:
    """Return whether `later` was made from `earlier`, by their records."""
    record = next((r for r in later.recent if r.to_version == earlier.version), None)
    return record is not None and bool(earlier.recent) and earlier.recent[-1] == record


async def load_head(api: ObjectApi, stored: StoredObject) -> StoredHead:
    """Return the head in a stored object, after reading its parts.

    Raises `PLATFORM_UNAVAILABLE` if a part is missing because a newer head has replaced this one.
    """
    document = decode_head(stored.value)
    bodies: list[bytes] = []
    for part in document.parts:
        stored_part = await api.read(part.key)
        if stored_part is None:
            raise CorianderwallError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                f"version {document.version} was replaced while it was being read",
            )
        bodies.append(stored_part.value)
    return join_head(document, stored.revision, bodies)
