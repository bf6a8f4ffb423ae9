"""Messages of the membership protocol between nodes.

The field names of frequent messages are shortened on the wire, since heartbeats make up most of
the control traffic.
"""

import enum

import msgspec

from corianderwall.model.endpoint import Endpoint, Host
from corianderwall.model.message import PeerMessage


class Life(enum.IntEnum):
    """The replicated life cycle state of a host; at equal incarnations the higher value wins."""

    LIVE = 0
    DEAD = 1
    LEFT = 2


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The replicated state of one host; only the host itself raises `revision`.

    `session` identifies the host's process: it stays the same when the host raises its
    incarnation to refute a suspicion.
    """

    host: Host
    session: int
    revision: int = 0
    life: Life = Life.LIVE
    endpoints: tuple[Endpoint, ...] = ()

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key of a host's records; the record with the higher key is newer."""
        return (self.host.incarnation, self.life.value, self.revision)


class RecordKey(msgspec.Struct, frozen=True, array_like=True):
    """The host name and sort key of a record, without its content."""

    name: str
    incarnation: int
    life: int
    revision: int

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the sort key of a host's records; the record with the higher key is newer."""
        return (self.incarnation, self.life, self.revision)


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An accuser's report that it no longer hears a host, or hears it again if not `active`.

    Of the reports of one accuser about one host only that with the highest `sequence` counts.
    """

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
    """A periodic message with the digests of the sender's view.

    `hears_you` says whether the sender has recently received a message from the receiver.
    `advert` is a short opaque value that the distribution of configuration attaches.
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
    """Changes of the view; `records` is compressed, see `records.pack_records`."""

    records: bytes = b""
    suspicions: tuple[Suspicion, ...] = ()


class JoinRequest(PeerMessage, frozen=True, tag="jr"):
    """Requests the view of a seed and announces the sender."""

    records: bytes


class JoinReply(PeerMessage, frozen=True, tag="ja"):
    """The seed's whole view, or a sample of it when many hosts join at once."""

    records: bytes
    is_whole: bool


class ProbeRequest(PeerMessage, frozen=True, tag="pq"):
    """Asks whether the receiver has recently heard `subject` (an indirect probe)."""

    subject: str


class ProbeReport(PeerMessage, frozen=True, tag="pa"):
    """Reports whether the sender has recently heard `subject` directly."""

    subject: str
    is_heard: bool


class ViewSummary(PeerMessage, frozen=True, tag="vs"):
    """The digests of the sender's buckets, sent when two views keep differing."""

    buckets: tuple[int, ...]


class BucketKeys(PeerMessage, frozen=True, tag="bk"):
    """The keys of the sender's records in the buckets `indexes`, which differ at the receiver."""

    indexes: tuple[int, ...]
    keys: tuple[RecordKey, ...]


class RecordsWanted(PeerMessage, frozen=True, tag="rw"):
    """Requests the records of these hosts."""

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
