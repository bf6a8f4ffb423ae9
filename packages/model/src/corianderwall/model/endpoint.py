"""Hosts, and the upstream endpoints that announce themselves to the node beside them."""

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Locality:
    """The location of a host; `rack` is empty if it is not known."""

    region: str
    zone: str
    rack: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """A node as its peers know it; `incarnation` grows with each start and refuted suspicion."""

    name: str
    locality: Locality
    peer_address: Address
    call_address: Address
    incarnation: int = 0


class EndpointState(enum.StrEnum):
    """Whether an endpoint may receive new calls."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An upstream endpoint, owned by the node beside it.

    It runs up to `slots` calls and accepts up to `connections` connections at once. It was
    announced at `started_unix_ms`, from which its share of calls is ramped up. `incarnation`
    orders its announcements.
    """

    name: str
    service: str
    version: str
    node: str
    locality: Locality
    address: Address
    slots: int
    connections: int
    state: EndpointState = EndpointState.READY
    started_unix_ms: int = 0
    incarnation: int = 0
