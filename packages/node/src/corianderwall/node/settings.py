"""The sections of a node's settings file and the checked settings built from them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, cast

import msgspec
from msgspec import Meta

from corianderwall.links.keys import KeyRing, require_key
from corianderwall.model.endpoint import Address, Host, Locality
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.settings import (
    Section,
    SettingProblem,
    check_addresses,
    load_settings,
    parse_address,
    parse_settings,
)
from corianderwall.model.validation import NAME_PATTERN
from corianderwall.node.logs import LogSettings


class HostSettings(Section, frozen=True, kw_only=True):
    """Who this node is and where it listens."""

    name: Annotated[
        str,
        Meta(
            description="name of this host, unique in the mesh", pattern=f"^{NAME_PATTERN.pattern}$"
        ),
    ]
    region: Annotated[str, Meta(description="region of this host", min_length=1)]
    zone: Annotated[str, Meta(description="availability zone of this host", min_length=1)]
    rack: Annotated[str, Meta(description="rack of this host, if known")] = ""
    call_address: Annotated[str, Meta(description="HOST:PORT on which callers are served")]
    peer_address: Annotated[str, Meta(description="HOST:PORT on which other nodes are served")]
    admin_address: Annotated[
        str, Meta(description="HOST:PORT for operators, metrics and the upstream beside the node")
    ]

    def find_contradictions(self) -> Iterable[SettingProblem]:
        """Return the addresses that are malformed or used twice."""
        keys = ("call_address", "peer_address", "admin_address")
        yield from check_addresses(self, keys, "host")
        for first, second in (keys[:2], keys[1:], keys[::2]):
            if getattr(self, first) == getattr(self, second):
                yield SettingProblem(f"host.{first}", f"expected another address than {second}")


class MeshSettings(Section, frozen=True, kw_only=True):
    """How this node finds the others and proves who it is."""

    public_key: Annotated[str, Meta(description="CURVE public key of this node, Z85")]
    secret_key: Annotated[str, Meta(description="CURVE secret key of this node, Z85")]
    server_key: Annotated[
        str, Meta(description="public key of the nodes that this one connects to; its own if empty")
    ] = ""
    accepted_keys: Annotated[
        tuple[str, ...], Meta(description="public keys accepted from other nodes besides its own")
    ] = ()
    seeds: Annotated[
        tuple[str, ...], Meta(description="NAME@HOST:PORT of nodes to join through")
    ] = ()

    def find_contradictions(self) -> Iterable[SettingProblem]:
        """Return the keys and seeds that are malformed."""
        keys = [("public_key", self.public_key), ("secret_key", self.secret_key)]
        keys += [("server_key", self.server_key)] if self.server_key else []
        keys += [("accepted_keys", key) for key in self.accepted_keys]
        for name, key in keys:
            try:
                require_key(key)
            except CorianderwallError as error:
                yield SettingProblem(f"mesh.{name}", error.sentence)
        for seed in self.seeds:
            try:
                parse_seed(seed)
            except CorianderwallError as error:
                yield SettingProblem("mesh.seeds", error.sentence)


class PlatformSettings(Section, frozen=True, kw_only=True):
    """Where the platform's object API is and what this mesh may ask of it."""

    url: Annotated[str, Meta(description="base URL of the object API", pattern="^https?://")]
    reads_per_s: Annotated[
        float, Meta(description="reads a second for the whole mesh, watches included", gt=0)
    ] = 1500.0
    writes_per_s: Annotated[float, Meta(description="writes a second for the whole mesh", gt=0)] = (
        200.0
    )


class OperatorSettings(Section, frozen=True, kw_only=True):
    """Who may change the configuration."""

    tokens: Annotated[
        dict[str, Annotated[str, Meta(min_length=16)]],
        Meta(description="bearer token of each operator, 16 characters or more"),
    ] = msgspec.field(default_factory=dict)

    def find_contradictions(self) -> Iterable[SettingProblem]:
        """Return a problem if two operators share a token, without revealing the token."""
        if len(set(self.tokens.values())) != len(self.tokens):
            yield SettingProblem("operators.tokens", "expected a different token for each operator")


class CallSettings(Section, frozen=True, kw_only=True):
    """Limits of the calls that this node serves."""

    default_timeout_ms: Annotated[
        int, Meta(description="timeout of a call without a deadline of its own", gt=0, le=3_600_000)
    ] = 15_000
    max_attempts: Annotated[int, Meta(description="attempts of one call", ge=1, le=10)] = 3
    max_running_calls: Annotated[
        int, Meta(description="calls served at once by this node", ge=1, le=100_000)
    ] = 2_000
    drain_timeout_s: Annotated[
        float, Meta(description="longest wait for running calls at a planned stop", gt=0)
    ] = 3_600.0


SECTIONS: dict[str, type[Section]] = {
    "host": HostSettings,
    "mesh": MeshSettings,
    "platform": PlatformSettings,
    "operators": OperatorSettings,
    "calls": CallSettings,
    "log": LogSettings,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """All checked settings of a node."""

    host: HostSettings
    mesh: MeshSettings
    platform: PlatformSettings
    operators: OperatorSettings
    calls: CallSettings
    log: LogSettings

    def build_host(self, incarnation: int) -> Host:
        """Return this host as other nodes will see it."""
        host = self.host
        return Host(
            name=host.name,
            locality=Locality(region=host.region, zone=host.zone, rack=host.rack),
            peer_address=parse_address(host.peer_address),
            call_address=parse_address(host.call_address),
            incarnation=incarnation,
        )

    def build_key_ring(self) -> KeyRing:
        """Return the keys of the links to other nodes."""
        mesh = self.mesh
        server = mesh.server_key or mesh.public_key
        return KeyRing(
            public=mesh.public_key,
            secret=mesh.secret_key,
            server=server,
            accepted=frozenset([mesh.public_key, server, *mesh.accepted_keys]),
        )


@dataclass(frozen=True, slots=True)
class Seed:
    """A node through which another joins the mesh."""

    name: str
    address: Address


def parse_seed(text: str) -> Seed:
    """Return the seed in `NAME@HOST:PORT`, or raise `INVALID_SETTINGS`."""
    name, _, address = text.rpartition("@")
    return Seed(name, parse_address(address))


def load_node_settings(path: str) -> NodeSettings:
    """Return the checked settings of the file, or raise `SettingsError`."""
    return _build_settings(load_settings(path, SECTIONS))


def parse_node_settings(data: bytes, path: str) -> NodeSettings:
    """Return the checked settings in `data`; `path` is used only in error messages."""
    return _build_settings(parse_settings(data, path, SECTIONS))


def _build_settings(sections: dict[str, Section]) -> NodeSettings:
    return NodeSettings(
        host=cast("HostSettings", sections["host"]),
        mesh=cast("MeshSettings", sections["mesh"]),
        platform=cast("PlatformSettings", sections["platform"]),
        operators=cast("OperatorSettings", sections["operators"]),
        calls=cast("CallSettings", sections["calls"]),
        log=cast("LogSettings", sections["log"]),
    )
