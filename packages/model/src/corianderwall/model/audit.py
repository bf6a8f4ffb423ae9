"""The head object of the configuration and the audit record that is written with it."""

from dataclasses import dataclass

from corianderwall.model.resource import Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """Who changed what, when, and from which version to which."""

    operation_id: str
    actor: str
    unix_ms: int
    from_version: int
    to_version: int
    kind: str
    summary: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The newest configuration; `recent` ends with the record of the change that made it."""

    version: int
    digest: str
    snapshot: Snapshot
    recent: tuple[AuditRecord, ...] = ()
