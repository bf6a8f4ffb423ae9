"""Lease messages between a holder, which calls an endpoint, and the endpoint's owner."""

import msgspec

from corianderwall.model.message import PeerMessage


class SubscriberUsage(msgspec.Struct, frozen=True, array_like=True):
    """The direct calls of one subscriber to an endpoint since the last request."""

    subscriber: str
    calls: int
    busy_ms: int


class LeaseDemand(msgspec.Struct, frozen=True, array_like=True):
    """The demand of a holder for leases of one endpoint.

    `wanted` is the number of leases that it can use, `applied_serial` the serial of the grant that
    it applied last, and `in_use` the number of calls that run on its leases.
    """

    endpoint: str
    wanted: int
    applied_serial: int
    in_use: int
    usage: tuple[SubscriberUsage, ...] = ()


class LeaseRequest(PeerMessage, frozen=True, kw_only=True, tag="lease-request"):
    """Requests or renews leases from one owner; `session` grows with each start of `node`."""

    node: str
    session: int
    zone: str
    serial: int
    demands: tuple[LeaseDemand, ...]


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """Which calls to an endpoint must go through its owner.

    While `saturated`, these are all calls, otherwise those of the subscribers in `over_share`.
    `session` is that of the owner; within a session, the state with the higher `sequence` is newer.
    """

    session: int
    sequence: int
    saturated: bool = False
    over_share: tuple[str, ...] = ()


class EndpointGrant(msgspec.Struct, frozen=True, array_like=True):
    """Allows `count` concurrent direct calls, started until `term_ms` after the request was sent.

    A call on a lease must end at most `call_ms` after it began.
    """

    endpoint: str
    count: int
    term_ms: int
    call_ms: int
    pressure: Pressure


class LeaseGrant(PeerMessage, frozen=True, kw_only=True, tag="lease-grant"):
    """The response to the request with the same `session` and `serial`."""

    owner: str
    session: int
    serial: int
    grants: tuple[EndpointGrant, ...]


class LeaseNotice(PeerMessage, frozen=True, kw_only=True, tag="lease-notice"):
    """Reports a change of the pressure on an endpoint to its holders; it may be lost."""

    owner: str
    endpoint: str
    pressure: Pressure


MESSAGES: tuple[type[PeerMessage], ...] = (LeaseRequest, LeaseGrant, LeaseNotice)
"""All messages of this package, for the node's decoder."""
