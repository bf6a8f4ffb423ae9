"""The settings of a node; the platform adapter reads them from the settings file."""

import math
from dataclasses import dataclass

from corianderwall.model.endpoint import Address


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """The headers, in lower case, that callers and endpoints use; given by the adapter.

    An endpoint names in `limit` how many requests a second it takes, and in `leaving` that it is
    about to stop.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    instance_id: bytes
    not_run: bytes
    caller: bytes
    limit: bytes
    leaving: bytes
    retry_after: bytes = b"retry-after"


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """The times and shares that the operator's terms grant; seconds unless named otherwise."""

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50
    canary_share: float = 0.1
    heartbeat_s: float = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """The identity, the addresses and the bounds of one host node."""

    name: str
    zone: str
    service: str
    outbound: Address
    inbound: Address
    readiness: Address
    announcements: Address
    metrics: Address
    endpoint: Address
    max_descriptors: int = 1024
    link_bytes_per_s: float = math.inf
    memory_bytes: float = math.inf
    bounds: Bounds = Bounds()
