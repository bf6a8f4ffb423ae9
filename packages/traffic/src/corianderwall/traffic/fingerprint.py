"""Recognizes a request that is sent again, with another request id or at another node."""

from hashlib import blake2b

DIGEST_BYTES = 16
"""Size of a digest; a caller cannot find a request with the digest of another caller's one."""
LENGTH_BYTES = 8
"""Size of the length before each part, so that different parts never make up the same bytes."""


def compute_fingerprint(
    *, caller: str, method: bytes, destination: bytes, target: bytes, body: bytes
) -> str:
    """Return a digest of what an endpoint runs, in hex.

    `destination` distinguishes equal targets of different services and is the same at all nodes.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (caller.encode(), method, destination, target, body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
