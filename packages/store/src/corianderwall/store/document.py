"""Encoding of the head object, whose large snapshots are split, and of archived versions."""

from dataclasses import dataclass

import msgspec
import xxhash

from corianderwall.model.audit import AuditRecord, Head
from corianderwall.model.codec import decode_snapshot, encode_snapshot
from corianderwall.model.delta import Delta
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import EMPTY_SNAPSHOT, Snapshot

HEAD_KEY = "config/head"
PARTS_PREFIX = "config/parts/"
AUDIT_PREFIX = "audit/"
MAX_INLINE_BYTES = 900 << 10
"""Maximum size of a head object with an inline snapshot; a larger snapshot is stored as parts."""

MAX_PART_BYTES = 900 << 10
MAX_PARTS = 64
MAX_RECENT_RECORDS = 64
"""Number of audit records of the newest changes kept in the head."""


class PartReference(msgspec.Struct, frozen=True):
    """Reference to an immutable part of a snapshot; `made_for` is the version that created it."""

    made_for: int
    digest: str

    @property
    def key(self) -> str:
        """Return the key of the part's object."""
        return f"{PARTS_PREFIX}{self.made_for:012d}/{self.digest}"


class HeadDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The value of the head object, with the snapshot either inline or in `parts`.

    `undo` is the delta from this version back to the previous one.
    """

    version: int
    digest: str
    recent: tuple[AuditRecord, ...]
    snapshot: Snapshot | None = None
    parts: tuple[PartReference, ...] = ()
    undo: Delta | None = None


class ArchivedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The audit record of one version and the delta back to the previous version."""

    record: AuditRecord
    undo: Delta


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredHead:
    """The head as read at `revision`, which is 0 with an empty snapshot if none was written."""

    revision: int
    head: Head
    parts: tuple[PartReference, ...] = ()
    undo: Delta | None = None


@dataclass(frozen=True, slots=True)
class PartObject:
    """A part with its content."""

    reference: PartReference
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class EncodedHead:
    """The value of a head object and the parts that must be stored before it."""

    value: bytes
    part_objects: tuple[PartObject, ...]


EMPTY_HEAD = StoredHead(revision=0, head=Head(version=0, digest="", snapshot=EMPTY_SNAPSHOT))

_encoder = msgspec.json.Encoder(order="deterministic")
_head_decoder = msgspec.json.Decoder(HeadDocument)
_archive_decoder = msgspec.json.Decoder(ArchivedVersion)


def build_audit_key(version: int) -> str:
    """Return the key of an archived version."""
    return f"{AUDIT_PREFIX}{version:012d}"


def encode_head(
    head: Head, undo: Delta | None, known_parts: tuple[PartReference, ...]
) -> EncodedHead:
    """Return the encoded head; chunks equal to known parts reuse their references."""
    document = HeadDocument(
        version=head.version,
        digest=head.digest,
        recent=head.recent,
        snapshot=head.snapshot,
        undo=undo,
    )
    value = _encoder.encode(document)
    if len(value) <= MAX_INLINE_BYTES:
        return EncodedHead(value=value, part_objects=())
    part_objects = _split_body(encode_snapshot(head.snapshot), head.version, known_parts)
    parts = tuple(each.reference for each in part_objects)
    split = msgspec.structs.replace(document, snapshot=None, parts=parts)
    return EncodedHead(value=_encoder.encode(split), part_objects=part_objects)


def decode_head(value: bytes) -> HeadDocument:
    """Return the decoded value of a head object, or raise `DAMAGED_UPDATE`."""
    try:
        return _head_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderwallError(ErrorCode.DAMAGED_UPDATE, f"malformed head: {error}") from error


def join_head(document: HeadDocument, revision: int, bodies: list[bytes]) -> StoredHead:
    """Return the head with the snapshot joined from its parts, or raise `DAMAGED_UPDATE`."""
    body = b"".join(bodies)
    if document.snapshot is not None:
        body = encode_snapshot(document.snapshot)
    if xxhash.xxh3_128_hexdigest(body) != document.digest:
        raise CorianderwallError(
            ErrorCode.DAMAGED_UPDATE, f"version {document.version} does not match its digest"
        )
    head = Head(
        version=document.version,
        digest=document.digest,
        snapshot=document.snapshot or decode_snapshot(body),
        recent=document.recent,
    )
    return StoredHead(revision=revision, head=head, parts=document.parts, undo=document.undo)


def encode_archived(archived: ArchivedVersion) -> bytes:
    """Return the encoded archived version."""
    return _encoder.encode(archived)


def decode_archived(value: bytes) -> ArchivedVersion:
    """Return the decoded archived version, or raise `DAMAGED_UPDATE`."""
    try:
        return _archive_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderwallError(
            ErrorCode.DAMAGED_UPDATE, f"malformed archived version: {error}"
        ) from error


def _split_body(
    body: bytes, version: int, known_parts: tuple[PartReference, ...]
) -> tuple[PartObject, ...]:
    known_by_digest = {part.digest: part for part in known_parts}
    part_objects: list[PartObject] = []
    for start in range(0, len(body), MAX_PART_BYTES):
        chunk = body[start : start + MAX_PART_BYTES]
        digest = xxhash.xxh3_128_hexdigest(chunk)
        part_objects.append(
            PartObject(known_by_digest.get(digest, PartReference(version, digest)), chunk)
        )
    if len(part_objects) > MAX_PARTS:
        raise CorianderwallError(ErrorCode.TOO_LARGE, "the configuration is too large to be stored")
    return tuple(part_objects)
