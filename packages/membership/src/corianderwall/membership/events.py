"""Events by which the membership tells its node what has changed."""

from dataclasses import dataclass

from corianderwall.model.endpoint import Endpoint, Host


@dataclass(frozen=True, slots=True)
class HostJoined:
    """A host became known, or a new incarnation of it after its process restarted."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostSuspected:
    """A host may have failed; it should be given no new calls."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostUnreachable:
    """A host of another region cannot be reached; it is kept in view and given no calls."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostDead:
    """Hosts of its own region agreed that a host failed; its endpoints are gone."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostLeft:
    """A host left on purpose."""

    host: Host


@dataclass(frozen=True, slots=True)
class HostReturned:
    """A suspected, unreachable or dead host is heard again."""

    host: Host


@dataclass(frozen=True, slots=True)
class EndpointAdded:
    """An endpoint became known."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """An endpoint changed, such as to draining."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """An endpoint is gone, with its owner or withdrawn by it."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class LinkSilent:
    """The connection to a host brings nothing while others hear the host; replace it."""

    peer: str


@dataclass(frozen=True, slots=True)
class AdvertHeard:
    """A heartbeat of `peer` carried this advert."""

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
    | AdvertHeard
)
