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


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot of which `data` is the canonical form, or raise `DAMAGED_UPDATE`."""
    try:
        snapshot = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderwallError(ErrorCode.DAMAGED_UPDATE, f"not a snapshot: {error}") from error
    if encode_snapshot(snapshot) != data:
        raise CorianderwallError(ErrorCode.DAMAGED_UPDATE, "not the canonical form of a snapshot")
    return snapshot


def compute_digest(snapshot: Snapshot) -> str:
    """Return the digest of the canonical bytes: 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(encode_snapshot(snapshot))
