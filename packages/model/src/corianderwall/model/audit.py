"""The head of the stored configuration and the audit records written with it."""

from dataclasses import dataclass

from corianderwall.model.resource import Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """Records who made a change, when, and which versions it led from and to."""

    operation_id: str
    actor: str
    unix_ms: int
    from_version: int
    to_version: int
    kind: str
    summary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The newest configuration; the last record in `recent` is of the change that produced it."""

    version: int
    digest: str
    snapshot: Snapshot
    recent: tuple[AuditRecord, ...] = ()
