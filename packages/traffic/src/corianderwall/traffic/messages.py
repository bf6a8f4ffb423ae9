"""Messages between a node that calls an endpoint and the node beside it, its owner."""

import msgspec

from corianderwall.model.message import PeerMessage


class SubscriberUsage(msgspec.Struct, frozen=True, array_like=True):
    """What one subscriber used of an endpoint by direct calls since the last report."""

    subscriber: str
    calls: int
    busy_ms: int


class LeaseDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a holder asks of one endpoint.

    `wanted` is the number of leases it can use, `applied_serial` that of the last grant in
    force there, `in_use` the number of calls running on its leases.
    """

    endpoint: str
    incarnation: int
    wanted: int
    applied_serial: int
    in_use: int
    usage: tuple[SubscriberUsage, ...] = ()


class LeaseRequest(PeerMessage, frozen=True, kw_only=True, tag="lease-request"):
    """Asks one owner for leases, or renews them; `session` changes with each start of `node`."""

    node: str
    session: int
    zone: str
    serial: int
    demands: tuple[LeaseDemand, ...]


class EndpointGrant(msgspec.Struct, frozen=True, array_like=True):
    """The leases of one endpoint: `count` calls at once until `term_ms` after the request.

    A call on a lease ends at most `call_ms` after it began. While `saturated`, all calls go
    through the owner; the calls of `over_share` always do. `sequence` orders this state.
    """

    endpoint: str
    incarnation: int
    count: int
    term_ms: int
    call_ms: int
    sequence: int
    saturated: bool = False
    over_share: tuple[str, ...] = ()


class LeaseGrant(PeerMessage, frozen=True, kw_only=True, tag="lease-grant"):
    """Answers the request with the same `session` and `serial`."""

    owner: str
    session: int
    serial: int
    grants: tuple[EndpointGrant, ...]


class LeaseNotice(PeerMessage, frozen=True, kw_only=True, tag="lease-notice"):
    """Tells holders at once that an endpoint's saturation has changed; it may be lost.

    `sequence` orders the notices and grants of one incarnation of the endpoint.
    """

    endpoint: str
    incarnation: int
    sequence: int
    saturated: bool
    over_share: tuple[str, ...] = ()


MESSAGES: tuple[type[PeerMessage], ...] = (LeaseRequest, LeaseGrant, LeaseNotice)
"""All messages of this library, for the node's decoder."""
