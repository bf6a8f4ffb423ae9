"""Splitting of whole snapshots into bounded parts, and their reassembly."""

import zlib

from corianderwall.distribution.messages import SnapshotPart
from corianderwall.model.codec import compute_digest, decode_snapshot, encode_snapshot
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Snapshot

MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024
MAX_PARTS = 512


def split_snapshot(
    snapshot: Snapshot, digest: str, *, session: int, part_bytes: int
) -> tuple[SnapshotPart, ...]:
    """Return the parts of a snapshot, each at most `part_bytes` long."""
    data = zlib.compress(encode_snapshot(snapshot), 6)
    starts = range(0, len(data), part_bytes)
    return tuple(
        SnapshotPart(
            session=session,
            version=snapshot.version,
            digest=digest,
            index=index,
            count=len(starts),
            data=data[start : start + part_bytes],
        )
        for index, start in enumerate(starts)
    )


class Assembly:
    """Collects the parts of one snapshot, in any order and with duplicates."""

    def __init__(self) -> None:
        self._digest = ""
        self._version = 0
        self._parts: dict[int, bytes] = {}

    def add(self, part: SnapshotPart) -> Snapshot | None:
        """Add a part and return the snapshot once it is complete, or raise `DAMAGED_UPDATE`."""
        if not (0 <= part.index < part.count <= MAX_PARTS):
            raise CorianderwallError(
                ErrorCode.DAMAGED_UPDATE, "the index or count of a part is out of range"
            )
        if part.digest != self._digest:
            if part.version < self._version:
                return None
            self.clear()
            self._digest, self._version = part.digest, part.version
        self._parts[part.index] = part.data
        if len(self._parts) < part.count:
            return None
        data = b"".join(self._parts[index] for index in sorted(self._parts))
        self.clear()
        return _decode_whole(data, part)

    def clear(self) -> None:
        """Drop all parts."""
        self._digest, self._version = "", 0
        self._parts = {}


def _decode_whole(data: bytes, part: SnapshotPart) -> Snapshot:
    try:
        stream = zlib.decompressobj()
        plain = stream.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise CorianderwallError(
            ErrorCode.DAMAGED_UPDATE, f"cannot decompress the parts: {error}"
        ) from error
    if not stream.eof:
        raise CorianderwallError(ErrorCode.DAMAGED_UPDATE, "the snapshot is truncated or too large")
    snapshot = decode_snapshot(plain)
    if snapshot.version != part.version or compute_digest(snapshot) != part.digest:
        raise CorianderwallError(
            ErrorCode.DAMAGED_UPDATE, f"the parts do not match version {part.version} or its digest"
        )
    return snapshot
