"""CURVE keys of the mesh, in ZeroMQ's Z85 text form of 40 characters."""

import binascii
from dataclasses import dataclass, field

import zmq
from zmq.utils import z85

from corianderwall.model.errors import CorianderwallError, ErrorCode

KEY_BYTES = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRing:
    """A node's key pair and the public keys from which it accepts connections.

    All nodes of a mesh may share a key pair. During a key rotation `accepted` holds the old and
    the new public key. `server` is the public key that the other nodes use as CURVE servers.
    """

    public: str
    secret: str = field(repr=False)
    server: str
    accepted: frozenset[str]


def generate_key_ring() -> KeyRing:
    """Return a new key pair that accepts only its own public key."""
    public, secret = zmq.curve_keypair()
    text = public.decode("ascii")
    return KeyRing(
        public=text, secret=secret.decode("ascii"), server=text, accepted=frozenset([text])
    )


def require_key(text: str) -> str:
    """Return `text` if it is a valid key, else raise an error that does not show the text."""
    try:
        if len(z85.decode(text.encode("ascii"))) == KEY_BYTES:
            return text
    except (ValueError, KeyError, UnicodeEncodeError, binascii.Error):
        pass
    raise CorianderwallError(ErrorCode.INVALID_SETTINGS, "expected a Z85 key of 40 characters")
