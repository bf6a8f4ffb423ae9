"""Canonical encoding and digests of snapshots, so that equal snapshots have equal bytes."""

import msgspec
import xxhash

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Snapshot

_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Snapshot)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the canonical JSON of `snapshot`."""
    return _encoder.encode(snapshot)


def parse_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot in `data`, which need not be canonical, or raise `DAMAGED_UPDATE`."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderwallError(ErrorCode.DAMAGED_UPDATE, f"invalid snapshot: {error}") from error


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot encoded in `data`; raise `DAMAGED_UPDATE` unless it is canonical."""
    snapshot = parse_snapshot(data)
    if encode_snapshot(snapshot) != data:
        raise CorianderwallError(ErrorCode.DAMAGED_UPDATE, "the snapshot is not in canonical form")
    return snapshot


def compute_digest(snapshot: Snapshot) -> str:
    """Return the digest of the canonical bytes as 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(encode_snapshot(snapshot))
