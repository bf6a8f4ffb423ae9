"""Messages of the membership protocol between nodes.

Field names are shortened on the wire, since heartbeats make up most of the control traffic.
"""

import enum

import msgspec

from corianderwall.model.endpoint import Endpoint, Host
from corianderwall.model.message import PeerMessage


class Life(enum.IntEnum):
    """What is replicated about a host's life; a higher value wins at an equal incarnation."""

    LIVE = 0
    DEAD = 1
    LEFT = 2


class Record(msgspec.Struct, frozen=True, array_like=True):
    """All that is replicated about one host; only its owner raises `revision`.

    `session` stays the same for the life of the owner's process, through refutations.
    """

    host: Host
    session: int
    revision: int = 0
    life: Life = Life.LIVE
    endpoints: tuple[Endpoint, ...] = ()

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key by which the newer of two records of a host is known."""
        return (self.host.incarnation, self.life.value, self.revision)


class RecordKey(msgspec.Struct, frozen=True, array_like=True):
    """The name and order of a record, without its content."""

    name: str
    incarnation: int
    life: int
    revision: int

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key by which the newer of two records of a host is known."""
        return (self.incarnation, self.life, self.revision)


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An accuser's claim that it no longer hears a host; the highest `sequence` counts."""

    accuser: str
    subject: str
    incarnation: int
    sequence: int
    active: bool


class Heartbeat(
    PeerMessage,
    frozen=True,
    tag="hb",
    omit_defaults=True,
    rename={
        "incarnation": "i",
        "view_digest": "v",
        "suspicion_digest": "s",
        "hears_you": "h",
        "wants_reply": "r",
        "advert": "a",
    },
):
    """A sign of life with the digests of the sender's view.

    `hears_you` tells whether the sender heard the receiver lately. `advert` is a short value
    that the membership carries for the distribution of configuration.
    """

    incarnation: int
    view_digest: int
    suspicion_digest: int = 0
    hears_you: bool = True
    wants_reply: bool = False
    advert: bytes = b""


class Gossip(
    PeerMessage,
    frozen=True,
    tag="go",
    omit_defaults=True,
    rename={"records": "r", "suspicions": "s"},
):
    """News for the receiver; `records` holds compressed records, see `records.pack_records`."""

    records: bytes = b""
    suspicions: tuple[Suspicion, ...] = ()


class JoinRequest(PeerMessage, frozen=True, tag="jr"):
    """Asks a seed for its view and announces the sender."""

    records: bytes


class JoinReply(PeerMessage, frozen=True, tag="ja"):
    """The seed's view, or a sample of it when the seed answers many at once."""

    records: bytes
    is_whole: bool


class ProbeRequest(PeerMessage, frozen=True, tag="pq"):
    """Asks whether the receiver hears `subject`."""

    subject: str


class ProbeReport(PeerMessage, frozen=True, tag="pa"):
    """Tells whether the sender lately heard `subject` directly."""

    subject: str
    is_heard: bool


class ViewSummary(PeerMessage, frozen=True, tag="vs"):
    """The digests of the sender's buckets, sent when two views stay different."""

    buckets: tuple[int, ...]


class BucketKeys(PeerMessage, frozen=True, tag="bk"):
    """The record keys of the sender's buckets `indexes`, which differ from the receiver's."""

    indexes: tuple[int, ...]
    keys: tuple[RecordKey, ...]


class RecordsWanted(PeerMessage, frozen=True, tag="rw"):
    """Asks for the records of these hosts."""

    names: tuple[str, ...]


MESSAGES: tuple[type[PeerMessage], ...] = (
    Heartbeat,
    Gossip,
    JoinRequest,
    JoinReply,
    ProbeRequest,
    ProbeReport,
    ViewSummary,
    BucketKeys,
    RecordsWanted,
)
