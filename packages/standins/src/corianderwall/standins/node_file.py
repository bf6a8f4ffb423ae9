"""Settings files of nodes on loopback, for tests, the demo and measurements."""

import socket
from dataclasses import dataclass
from random import SystemRandom

from corianderwall.model.endpoint import Address

LOOPBACK = "127.0.0.1"
OPERATOR = "tester"
TOKEN = "token-of-the-tester"
LISTENER_PORT_RANGE = (10_000, 32_000)

_TEMPLATE = """
[host]
name = "{name}"
region = "{region}"
zone = "{zone}"
rack = "{rack}"
call_address = "{call}"
peer_address = "{peer}"
admin_address = "{admin}"
[mesh]
public_key = '{public_key}'
secret_key = '{secret_key}'
seeds = [{seeds}]
[platform]
url = "{platform_url}"
reads_per_s = {reads_per_s}
writes_per_s = {writes_per_s}
[operators]
tokens = {{ {operator} = "{token}" }}
[calls]
default_timeout_ms = {timeout_ms}
[log]
level = "{log_level}"
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeFile:
    """The settings that differ between the nodes of a test."""

    name: str
    zone: str
    call: Address
    peer: Address
    admin: Address
    public_key: str
    secret_key: str
    platform_url: str
    region: str = "midlands"
    rack: str = ""
    seeds: tuple[str, ...] = ()
    timeout_ms: int = 15_000
    log_level: str = "warning"
    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0

    def render(self) -> str:
        """Return the settings file as TOML text."""
        return _TEMPLATE.format(
            name=self.name,
            zone=self.zone,
            call=self.call,
            peer=self.peer,
            admin=self.admin,
            public_key=self.public_key,
            secret_key=self.secret_key,
            platform_url=self.platform_url,
            region=self.region,
            rack=self.rack,
            seeds=", ".join(f'"{seed}"' for seed in self.seeds),
            timeout_ms=self.timeout_ms,
            log_level=self.log_level,
            reads_per_s=self.reads_per_s,
            writes_per_s=self.writes_per_s,
            operator=OPERATOR,
            token=TOKEN,
        )


def find_free_addresses(count: int) -> list[Address]:
    """Return loopback addresses for listeners of this process or its children.

    No other call returns the same ports while this process runs, in any process. They lie below the
    ephemeral range, so that no outgoing connection takes one before its listener is started.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randrange(*LISTENER_PORT_RANGE)
        if _claim_port(port):
            ports.append(port)
    return [Address(host=LOOPBACK, port=port) for port in ports]


def _claim_port(port: int) -> bool:
    """Claim a TCP port that is free by binding the UDP port of the same number, which is unused."""
    claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with socket.socket() as listener:
        try:
            claim.bind((LOOPBACK, port))
            listener.bind((LOOPBACK, port))
        except OSError:
            claim.close()
            return False
    _claims.append(claim)
    return True


_random = SystemRandom()
_claims: list[socket.socket] = []
