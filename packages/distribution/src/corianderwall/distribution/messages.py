"""Messages of the configuration distribution between nodes."""

from corianderwall.model.delta import Delta
from corianderwall.model.message import PeerMessage

NO_VERSION = -1
"""The version of a node that holds no snapshot; the empty snapshot has version 0."""


class Update(PeerMessage, frozen=True, tag="up"):
    """A delta from one snapshot to a newer one, which the sender holds."""

    session: int
    delta: Delta


class SnapshotPart(PeerMessage, frozen=True, tag="sp"):
    """One of `count` parts of the compressed canonical encoding of a whole snapshot."""

    session: int
    version: int
    digest: str
    index: int
    count: int
    data: bytes


class HeldVersion(
    PeerMessage,
    frozen=True,
    tag="he",
    omit_defaults=True,
    rename={"session": "s", "version": "v", "wants_reply": "r"},
):
    """Acknowledges the version that the sender holds, active or not."""

    session: int
    version: int
    wants_reply: bool = False


class CatchUpRequest(PeerMessage, frozen=True, tag="cu"):
    """Requests the delta or the parts that lead from the sender's snapshot to the receiver's."""

    version: int
    digest: str


class HeadRequest(PeerMessage, frozen=True, tag="hr"):
    """Asks a watcher to read the platform's head after this request has arrived."""

    nonce: int


class HeadResponse(PeerMessage, frozen=True, tag="ha"):
    """The version of the platform's head, read after the request with this nonce had arrived."""

    nonce: int
    version: int


class FloorQuery(PeerMessage, frozen=True, tag="fq"):
    """Asks a host of the same region for the highest version that it holds."""

    nonce: int


class FloorResponse(PeerMessage, frozen=True, tag="fa"):
    """The higher of the version that the sender holds and its own floor.

    `is_recovering` says that the sender has restarted and does not know its own floor yet or
    holds nothing at or above it. `view_digest` is the digest of its membership.
    """

    nonce: int
    version: int
    is_recovering: bool
    view_digest: int


class ActiveVersion(PeerMessage, frozen=True, tag="if"):
    """Reports the active version of the sender to a collector."""

    session: int
    version: int


class RolloutQuery(PeerMessage, frozen=True, tag="rq"):
    """Asks a collector on which hosts at least `version` is active."""

    version: int


class RolloutResponse(PeerMessage, frozen=True, tag="ra"):
    """The hosts of the collector's zone on which at least `version` is active."""

    version: int
    names: tuple[str, ...]


MESSAGES: tuple[type[PeerMessage], ...] = (
    Update,
    SnapshotPart,
    HeldVersion,
    CatchUpRequest,
    HeadRequest,
    HeadResponse,
    FloorQuery,
    FloorResponse,
    ActiveVersion,
    RolloutQuery,
    RolloutResponse,
)
