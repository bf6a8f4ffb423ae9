"""Events by which the distributor reports changes to its node."""

from dataclasses import dataclass

from corianderwall.model.errors import ErrorCode
from corianderwall.model.resource import Snapshot


@dataclass(frozen=True, slots=True)
class VersionActivated:
    """A snapshot was activated."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class HeadReadRequested:
    """The platform's head should be read now and passed to `handle_head` with `asked_at`."""


@dataclass(frozen=True, slots=True)
class UpdateRefused:
    """An update from a peer was invalid and had no effect."""

    peer: str
    code: ErrorCode
    sentence: str


@dataclass(frozen=True, slots=True)
class DigestConflict:
    """A peer or the platform has a different snapshot with the version that this node holds."""

    source: str
    version: int


DistributionEvent = VersionActivated | HeadReadRequested | UpdateRefused | DigestConflict
