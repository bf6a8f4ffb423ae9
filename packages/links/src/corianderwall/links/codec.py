"""Encoding of messages between nodes as msgpack."""

from collections.abc import Iterable
from typing import Any, Union

import msgspec

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.message import PeerMessage

MAX_FRAME_BYTES = 2_000_000


class PeerCodec:
    """Encodes and decodes the messages of a fixed set of types."""

    def __init__(self, message_types: Iterable[type[PeerMessage]]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        union: Any = Union[tuple(message_types)]  # noqa: UP007 - the members are known at run time
        self._decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(union)

    def encode(self, message: PeerMessage) -> bytes:
        """Return `message` as an encoded frame."""
        return self._encoder.encode(message)

    def decode(self, frame: bytes) -> PeerMessage:
        """Return the message in `frame`, or raise `MALFORMED_MESSAGE`."""
        if len(frame) > MAX_FRAME_BYTES:
            raise CorianderwallError(
                ErrorCode.MALFORMED_MESSAGE, f"a frame of {len(frame)} bytes exceeds the limit"
            )
        try:
            return self._decoder.decode(frame)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise CorianderwallError(
                ErrorCode.MALFORMED_MESSAGE, f"cannot decode the message of a peer: {error}"
            ) from error
