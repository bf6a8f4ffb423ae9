"""The replicated records of all hosts, their digests and their compressed encoding."""

import zlib
from collections.abc import Iterable, Iterator

import msgspec
import xxhash

from corianderwall.membership.messages import Life, Record, RecordKey
from corianderwall.model.errors import CorianderwallError, ErrorCode

BUCKETS = 32
MAX_UNPACKED_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[Record, ...])


def pack_records(records: Iterable[Record]) -> bytes:
    """Return the compressed encoding of `records`."""
    return zlib.compress(_encoder.encode(tuple(records)), 1)


def unpack_records(data: bytes) -> tuple[Record, ...]:
    """Return the records in `data`, or raise `MALFORMED_MESSAGE`."""
    if not data:
        return ()
    try:
        stream = zlib.decompressobj()
        plain = stream.decompress(data, MAX_UNPACKED_BYTES)
        if not stream.eof:
            raise CorianderwallError(
                ErrorCode.MALFORMED_MESSAGE, "the compressed records are truncated or too large"
            )
        return _decoder.decode(plain)
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderwallError(
            ErrorCode.MALFORMED_MESSAGE, f"cannot decode the records: {error}"
        ) from error


def find_bucket(name: str) -> int:
    """Return the index of the bucket that a host belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS


def _hash_record(record: Record) -> int:
    return xxhash.xxh3_64_intdigest(f"{record.host.name}/{record.order}".encode())


class RecordTable:
    """Keeps the newest record of each host; digests cover only hosts that are `LIVE`."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._removed_at: dict[str, float] = {}
        self._digests = [0] * BUCKETS
        self._digest = 0

    def get(self, name: str) -> Record | None:
        """Return the record of a host, including dead hosts."""
        return self._records.get(name)

    def store(self, record: Record, now: float) -> Record | None:
        """Store a record that supersedes the current one and return the previous record."""
        name = record.host.name
        before = self._records.get(name)
        self._toggle(before)
        self._toggle(record)
        self._records[name] = record
        if record.life is Life.LIVE:
            self._removed_at.pop(name, None)
        else:
            self._removed_at[name] = now
        return before

    def is_newer(self, record: Record) -> bool:
        """Return whether `record` supersedes the stored record of its host."""
        held = self._records.get(record.host.name)
        return held is None or record.order > held.order

    def iterate_live(self) -> Iterator[Record]:
        """Iterate over the records of hosts that have neither died nor left."""
        return (record for record in self._records.values() if record.life is Life.LIVE)

    def list_removed(self) -> list[Record]:
        """Return the records of hosts that have died or left."""
        return [self._records[name] for name in self._removed_at]

    def forget_removed(self, before: float) -> None:
        """Delete the records of hosts that died or left before this time."""
        for name in [name for name, at in self._removed_at.items() if at < before]:
            del self._removed_at[name]
            del self._records[name]

    def list_keys(self, buckets: Iterable[int]) -> tuple[RecordKey, ...]:
        """Return the keys of all records in these buckets, including those of dead hosts."""
        wanted = set(buckets)
        return tuple(
            RecordKey(name, *record.order)
            for name, record in self._records.items()
            if find_bucket(name) in wanted
        )

    @property
    def buckets(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        return tuple(self._digests)

    @property
    def digest(self) -> int:
        """The 64-bit digest of the whole view."""
        return self._digest

    def _toggle(self, record: Record | None) -> None:
        if record is not None and record.life is Life.LIVE:
            hashed = _hash_record(record)
            self._digests[find_bucket(record.host.name)] ^= hashed
            self._digest ^= hashed
