"""Events by which the membership reports changes to its node."""

from dataclasses import dataclass

from corianderwall.model.endpoint import Endpoint, Host


@dataclass(frozen=True, slots=True)
class HostJoined:
    """A host joined, or its process restarted."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostSuspected:
    """A host may have failed; it should be sent no new calls."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostUnreachable:
    """A host of another region cannot be reached; it stays in view but is sent no calls."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostDead:
    """The hosts of its own region agreed that a host failed; its endpoints are removed."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostLeft:
    """A host left the mesh on purpose."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostReturned:
    """A suspected, unreachable or dead host is live again."""

    host: Host


@dataclass(frozen=True, slots=True)
class EndpointAdded:
    """An endpoint was announced."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """An endpoint changed, for example its state to draining."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """An endpoint was withdrawn, or its host died or left."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class LinkSilent:
    """The connection with `peer` is broken although the host is alive; it should be replaced."""

    peer: str


@dataclass(frozen=True, slots=True)
class AdvertReceived:
    """A heartbeat from `peer` carried this advert."""

    peer: str
    advert: bytes


MembershipEvent = (
    HostJoined
    | HostSuspected
    | HostUnreachable
    | HostDead
    | HostLeft
    | HostReturned
    | EndpointAdded
    | EndpointChanged
    | EndpointRemoved
    | LinkSilent
    | AdvertReceived
)
