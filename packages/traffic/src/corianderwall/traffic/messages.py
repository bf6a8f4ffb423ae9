"""Messages between a node that calls an endpoint and the node beside it, its owner."""

import msgspec

from corianderwall.model.message import PeerMessage


class SubscriberUsage(msgspec.Struct, frozen=True, array_like=True):
    """What one subscriber used of an endpoint by direct calls since the last request."""

    subscriber: str
    calls: int
    busy_ms: int


class LeaseDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a holder asks of one endpoint.

    `wanted` is the number of leases it can use, `applied_serial` that of the last grant in
    force there, `in_use` the number of calls running on its leases.
    """

    endpoint: str
    wanted: int
    applied_serial: int
    in_use: int
    usage: tuple[SubscriberUsage, ...] = ()


class LeaseRequest(PeerMessage, frozen=True, kw_only=True, tag="lease-request"):
    """Asks one owner for leases, or renews them; `session` grows with each start of `node`."""

    node: str
    session: int
    zone: str
    serial: int
    demands: tuple[LeaseDemand, ...]


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """Which calls of an endpoint must go through its owner.

    All of them while `saturated`, those of the subscribers `over_share` always. `session` is
    that of the owner; within one session the higher `sequence` is the newer state.
    """

    session: int
    sequence: int
    saturated: bool = False
    over_share: tuple[str, ...] = ()


class EndpointGrant(msgspec.Struct, frozen=True, array_like=True):
    """The leases of one endpoint: `count` calls at once until `term_ms` after the request.

    A call on a lease must end at most `call_ms` after it began.
    """

    endpoint: str
    count: int
    term_ms: int
    call_ms: int
    pressure: Pressure


class LeaseGrant(PeerMessage, frozen=True, kw_only=True, tag="lease-grant"):
    """Answers the request with the same `session` and `serial`."""

    owner: str
    session: int
    serial: int
    grants: tuple[EndpointGrant, ...]


class LeaseNotice(PeerMessage, frozen=True, kw_only=True, tag="lease-notice"):
    """Tells holders at once that the pressure on an endpoint has changed; it may be lost."""

    owner: str
    endpoint: str
    pressure: Pressure


MESSAGES: tuple[type[PeerMessage], ...] = (LeaseRequest, LeaseGrant, LeaseNotice)
"""All messages of this library, for the node's decoder."""
