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
    """Where a host stands; `rack` may be empty if it is not known."""

    region: str
    zone: str
    rack: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """One node as the others see it; `incarnation` grows with each start and refutation."""

    name: str
    locality: Locality
    peer_address: Address
    call_address: Address
    incarnation: int = 0


class EndpointState(enum.StrEnum):
    """What an endpoint may be given."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An upstream endpoint, owned by the node beside it.

    `slots` calls run at once, `connections` may be open at once. `started_unix_ms` is when it
    was announced, from which the cold start is ramped. `incarnation` orders its announcements.
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
