"""Messages by which configuration travels between nodes."""

from corianderwall.model.delta import Delta
from corianderwall.model.message import PeerMessage

NO_VERSION = -1
"""The version of a node that holds no snapshot; the empty snapshot has version 0."""


class Update(PeerMessage, frozen=True, tag="up"):
    """Leads from one snapshot to a newer one, which the sender holds."""

    session: int
    delta: Delta


class SnapshotPart(PeerMessage, frozen=True, tag="sp"):
    """One of `count` parts of the compressed canonical bytes of a whole snapshot."""

    session: int
    version: int
    digest: str
    index: int
    count: int
    data: bytes


class Held(
    PeerMessage,
    frozen=True,
    tag="he",
    omit_defaults=True,
    rename={"session": "s", "version": "v", "wants_reply": "r"},
):
    """Tells which version the sender holds, in force or not."""

    session: int
    version: int
    wants_reply: bool = False


class CatchUpRequest(PeerMessage, frozen=True, tag="cu"):
    """Asks for whatever leads from the sender's snapshot to the receiver's."""

    version: int
    digest: str


class HeadRequest(PeerMessage, frozen=True, tag="hr"):
    """Asks a watcher to read the platform's head after this request has arrived."""

    nonce: int


class HeadAnswer(PeerMessage, frozen=True, tag="ha"):
    """The version that the platform had as its head after the request of this nonce."""

    nonce: int
    version: int


class FloorQuery(PeerMessage, frozen=True, tag="fq"):
    """Asks a host of the same region for the highest version that it holds."""

    nonce: int


class FloorAnswer(PeerMessage, frozen=True, tag="fa"):
    """The version that the sender holds.

    `is_recovering` tells that the sender has lost its memory and does not know its own floor
    yet; `view_digest` is that of its membership.
    """

    nonce: int
    version: int
    is_recovering: bool
    view_digest: int


class InForce(PeerMessage, frozen=True, tag="if"):
    """Reports to a collector which version the sender has in force."""

    session: int
    version: int


class RolloutQuery(PeerMessage, frozen=True, tag="rq"):
    """Asks a collector which hosts have at least `version` in force."""

    version: int


class RolloutAnswer(PeerMessage, frozen=True, tag="ra"):
    """The hosts of the collector's zone that have at least `version` in force."""

    version: int
    names: tuple[str, ...]


MESSAGES: tuple[type[PeerMessage], ...] = (
    Update,
    SnapshotPart,
    Held,
    CatchUpRequest,
    HeadRequest,
    HeadAnswer,
    FloorQuery,
    FloorAnswer,
    InForce,
    RolloutQuery,
    RolloutAnswer,
)
