"""Archive of the audit records and versions that are older than those kept in the head."""

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from corianderwall.model.delta import apply_delta
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.store.document import (
    ArchivedVersion,
    build_audit_key,
    decode_archived,
    encode_archived,
)
from corianderwall.store.operation import parse_created_unix_ms

if TYPE_CHECKING:
    from corianderwall.model.audit import AuditRecord
    from corianderwall.model.resource import Snapshot
    from corianderwall.store.api import ObjectApi
    from corianderwall.store.document import StoredHead
    from corianderwall.store.retry import Retrier

MAX_SEARCHED_RECORDS = 256
"""Maximum number of archived records that a search for one operation reads."""

MAX_HISTORY_STEPS = 256
MAX_CLOCK_SKEW_MS = 300_000


@dataclass(frozen=True, slots=True, kw_only=True)
class SearchResult:
    """Result of a search; if `is_complete` is true and `record` is None, no record exists."""

    is_complete: bool
    record: "AuditRecord | None" = None


class Archive:
    """Reads and writes the archived versions, `audit/VERSION`, which are immutable."""

    def __init__(self, api: "ObjectApi") -> None:
        self._api = api

    async def archive_head(self, stored: "StoredHead") -> None:
        """Archive the record of the head's version before a newer head replaces it."""
        if stored.undo is None or not stored.head.recent:
            return
        archived = ArchivedVersion(record=stored.head.recent[-1], undo=stored.undo)
        key = build_audit_key(stored.head.version)
        try:
            await self._api.write_if(key, encode_archived(archived), expected_revision=0)
        except CorianderwallError as error:
            # All writers archive the same bytes, so an existing object is already correct.
            if error.code is not ErrorCode.CONFLICT:
                raise

    async def read(self, version: int) -> ArchivedVersion | None:
        """Return the archived version, or None if it is no longer kept."""
        stored = await self._api.read(build_audit_key(version))
        return None if stored is None else decode_archived(stored.value)

    async def find_operation(
        self, operation_id: str, *, before_version: int, retrier: "Retrier", deadline: float
    ) -> "SearchResult":
        """Search the versions before `before_version`, newest first, for the operation's record.

        The search ends at versions that are older than the operation.
        """
        created_unix_ms = parse_created_unix_ms(operation_id)
        floor = max(0, before_version - 1 - MAX_SEARCHED_RECORDS)
        for version in range(before_version - 1, floor, -1):
            archived = await retrier.run(partial(self.read, version), deadline=deadline)
            if archived is None:
                return SearchResult(is_complete=False)
            if archived.record.operation_id == operation_id:
                return SearchResult(is_complete=True, record=archived.record)
            if is_older_than_operation(archived.record, created_unix_ms):
                return SearchResult(is_complete=True)
        return SearchResult(is_complete=floor == 0)

    async def read_records(
        self, stored: "StoredHead", *, before_version: int, limit: int
    ) -> "tuple[AuditRecord, ...]":
        """Return up to `limit` records of the versions before `before_version`, newest first."""
        recent_by_version = {record.to_version: record for record in stored.head.recent}
        records: list[AuditRecord] = []
        version = min(before_version - 1, stored.head.version)
        while version > 0 and len(records) < limit:
            record = recent_by_version.get(version)
            if record is None:
                archived = await self.read(version)
                if archived is None:
                    break
                record = archived.record
            records.append(record)
            version -= 1
        return tuple(records)

    async def rebuild_snapshot(self, stored: "StoredHead", version: int) -> "Snapshot":
        """Return an older snapshot by undoing one version after another."""
        steps = stored.head.version - version
        if not 0 <= steps <= MAX_HISTORY_STEPS:
            raise CorianderwallError(
                ErrorCode.NOT_FOUND,
                f"version {version} is not within the last {MAX_HISTORY_STEPS} of"
                f" {stored.head.version}",
            )
        snapshot = stored.head.snapshot
        undo = stored.undo
        while snapshot.version > version:
            if undo is None:
                raise CorianderwallError(ErrorCode.NOT_FOUND, f"version {version} is not kept")
            snapshot = apply_delta(snapshot, undo)
            archived = await self.read(snapshot.version) if snapshot.version > version else None
            undo = None if archived is None else archived.undo
        return snapshot


def is_older_than_operation(record: "AuditRecord", created_unix_ms: int | None) -> bool:
    """Return whether a record is certainly older than an operation, despite clock skew."""
    return created_unix_ms is not None and record.unix_ms < created_unix_ms - MAX_CLOCK_SKEW_MS
