"""The short value that heartbeats carry for the distribution of configuration."""

import msgspec

from corianderwall.distribution.messages import NO_VERSION
from corianderwall.model.errors import CorianderwallError, ErrorCode


class Advert(msgspec.Struct, frozen=True, array_like=True):
    """The version that a node holds and the first 64 bits of its digest."""

    session: int
    version: int = NO_VERSION
    digest: int = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Advert)


def shorten_digest(digest: str) -> int:
    """Return the first 64 bits of a digest."""
    return int(digest[:16] or "0", 16)


def encode_advert(advert: Advert) -> bytes:
    """Return the encoded advert."""
    return _encoder.encode(advert)


def decode_advert(data: bytes) -> Advert:
    """Return the advert in `data`, or raise `MALFORMED_MESSAGE`."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderwallError(
            ErrorCode.MALFORMED_MESSAGE, f"cannot decode the advert: {error}"
        ) from error
