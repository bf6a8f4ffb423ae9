"""Commit of one operation, resolving lost responses and conflicts with other writers."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from corianderwall.model.audit import AuditRecord, Head
from corianderwall.model.change import Operation, apply_change
from corianderwall.model.codec import compute_digest
from corianderwall.model.delta import compute_delta
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.store.document import MAX_RECENT_RECORDS, StoredHead, encode_head
from corianderwall.store.operation import read_change_kind, summarise_change
from corianderwall.store.retry import RETRYABLE_CODES

if TYPE_CHECKING:
    from corianderwall.store.head import HeadStore


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitResult:
    """Version that an operation created, its audit record and the newest head that was read."""

    version: int
    record: AuditRecord
    head: Head


class Commit:
    """Applies one operation, retrying until the outcome is known or the deadline passes."""

    def __init__(
        self, store: "HeadStore", operation: Operation, deadline: float, repeated: bool
    ) -> None:
        self._store = store
        self._operation = operation
        self._deadline = deadline
        self._repeated = repeated
        """Whether an earlier attempt may have taken effect and must be searched for."""
        self._is_undecidable = False
        self._must_read_head = repeated
        self._unresolved_base_version: int | None = None
        """Base version of a write whose response was lost."""

    async def run(self) -> CommitResult:
        """Return the committed version, or raise an error that states its effect correctly."""
        if self._store.is_past(self._deadline):
            timed_out = CorianderwallError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed while waiting for other changes through this node",
            )
            raise self._correct_effect(timed_out)
        attempt = 0
        while True:
            try:
                return await self._attempt()
            except CorianderwallError as error:
                attempt += 1
                if not await self._wait_if_retryable(error, attempt):
                    raise self._correct_effect(error) from error

    async def _wait_if_retryable(self, error: CorianderwallError, attempt: int) -> bool:
        if self._is_undecidable:
            return False
        if error.code not in RETRYABLE_CODES and error.code is not ErrorCode.CONFLICT:
            return False
        return await self._store.wait_before_retry(attempt, error, deadline=self._deadline)

    async def _attempt(self) -> CommitResult:
        cached = None if self._must_read_head else self._store.take_cached_head()
        self._must_read_head = True
        if cached is not None:
            try:
                return await self._commit_on_base(cached)
            except CorianderwallError as error:
                if error.code in RETRYABLE_CODES or error.code is ErrorCode.CONFLICT:
                    raise
        # The change may be valid on the newest head even if an older head refused it.
        return await self._commit_on_base(await self._store.read_base(deadline=self._deadline))

    async def _commit_on_base(self, base: StoredHead) -> CommitResult:
        record = await self._find_earlier_record(base)
        if record is not None:
            return CommitResult(version=record.to_version, record=record, head=base.head)
        if base.revision == 0:
            await self._store.require_empty_archive(deadline=self._deadline)
        head = make_next_head(base.head, self._operation, self._store.read_unix_ms())
        undo = compute_delta(head.snapshot, base.head.snapshot)
        encoded = encode_head(head, undo, base.parts)
        await self._store.write_prerequisites(base, encoded.part_objects, deadline=self._deadline)
        try:
            revision = await self._store.replace_head(base, encoded.value)
        except CorianderwallError as error:
            if error.code is ErrorCode.OUTCOME_UNKNOWN:
                self._unresolved_base_version = base.head.version
            raise
        parts = tuple(part_object.reference for part_object in encoded.part_objects)
        self._store.cache_head(StoredHead(revision=revision, head=head, parts=parts, undo=undo))
        return CommitResult(version=head.version, record=head.recent[-1], head=head)

    async def _find_earlier_record(self, base: StoredHead) -> AuditRecord | None:
        """Return the record of this operation if one of its earlier writes took effect."""
        operation_id = self._operation.operation_id
        record = find_record(base.head.recent, operation_id)
        if record is None and self._repeated:
            record = await self._search_archive(base)
        if record is None and self._unresolved_base_version is not None:
            record = await self._resolve_lost_write(base, self._unresolved_base_version)
        return record

    async def _search_archive(self, base: StoredHead) -> AuditRecord | None:
        """Return the record of an earlier attempt through this or another node."""
        result = await self._store.search_archive(
            base, self._operation.operation_id, deadline=self._deadline
        )
        if result.record is None and not result.is_complete:
            self._is_undecidable = True
            raise _build_outcome_unknown(self._operation.operation_id)
        self._repeated = False
        return result.record

    async def _resolve_lost_write(self, base: StoredHead, base_version: int) -> AuditRecord | None:
        # A write based on version n can only create n + 1, so the record of n + 1 decides.
        # While the head is still n, the lost write may be in flight. A second write based on n is
        # safe, because the platform accepts only one of the two.
        if base.head.version == base_version:
            return None
        record = await self._store.read_record(base, base_version + 1, deadline=self._deadline)
        if record is None:
            raise _build_outcome_unknown(self._operation.operation_id)
        self._unresolved_base_version = None
        return record if record.operation_id == self._operation.operation_id else None

    def _correct_effect(self, error: CorianderwallError) -> CorianderwallError:
        if self._repeated or self._unresolved_base_version is not None:
            return _build_outcome_unknown(self._operation.operation_id)
        if error.code is ErrorCode.OUTCOME_UNKNOWN:
            # Only responses to preparatory writes were lost, so the head is unchanged.
            return CorianderwallError(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the platform's responses were lost until the deadline",
            )
        return error


def make_next_head(head: Head, operation: Operation, unix_ms: int) -> Head:
    """Return the head after the operation, or raise the error of its change."""
    snapshot = apply_change(head.snapshot, operation.change)
    record = AuditRecord(
        operation_id=operation.operation_id,
        actor=operation.actor,
        unix_ms=unix_ms,
        from_version=head.version,
        to_version=snapshot.version,
        kind=read_change_kind(operation.change),
        summary=summarise_change(operation.change),
    )
    return Head(
        version=snapshot.version,
        digest=compute_digest(snapshot),
        snapshot=snapshot,
        recent=(*head.recent, record)[-MAX_RECENT_RECORDS:],
    )


def find_record(records: tuple[AuditRecord, ...], operation_id: str) -> AuditRecord | None:
    """Return the record of an operation, or None if it is not among `records`."""
    return next((record for record in records if record.operation_id == operation_id), None)


def _build_outcome_unknown(operation_id: str) -> CorianderwallError:
    return CorianderwallError(
        ErrorCode.OUTCOME_UNKNOWN,
        f"the outcome of operation {operation_id!r} is not known yet; query it later",
        effect=Effect.UNKNOWN,
    )
