"""Events by which the distributor tells its node what has changed."""

from dataclasses import dataclass

from corianderwall.model.errors import ErrorCode
from corianderwall.model.resource import Snapshot


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """A snapshot has been put in force, whole."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class HeadWanted:
    """The platform's head should be read now and given to `offer` with `asked_at`."""


@dataclass(frozen=True, slots=True)
class UpdateRefused:
    """An update of a peer could not be applied and had no effect."""

    peer: str
    code: ErrorCode
    sentence: str


@dataclass(frozen=True, slots=True)
class DigestConflict:
    """A peer or the platform has another snapshot under the version that this node holds."""

    source: str
    version: int


DistributionEvent = VersionInForce | HeadWanted | UpdateRefused | DigestConflict
