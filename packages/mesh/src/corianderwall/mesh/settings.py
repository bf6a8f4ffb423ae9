"""The settings of a node; the platform adapter reads them from the settings file."""

import math
from dataclasses import dataclass

from corianderwall.model.endpoint import Address

PLACES_SECTION = "places"
"""The section of the operator's terms under which zones are evacuated and cold endpoints are bound
to a rate."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """The headers, in lower case, that callers and endpoints use; given by the adapter.

    An endpoint names in `limit` how many requests a second it takes, in `leaving` that it is about
    to stop, in `load` its load and the speed of its host, and in `warmup_left` how many
    milliseconds it stays cold. Callers send their key in `authorization`; endpoints get the team
    that holds it in `team`.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    instance_id: bytes
    not_run: bytes
    caller: bytes
    limit: bytes
    leaving: bytes
    authorization: bytes = b"authorization"
    team: bytes = b"team"
    load: bytes = b"load"
    warmup_left: bytes = b"warmup-left"
    retry_after: bytes = b"retry-after"


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """The times and shares that the operator's terms grant; seconds unless named otherwise.

    In no second may a cold endpoint get more calls than its `warmup_per_s` x `cold_over` +
    `cold_slack`. Within `quota_window_s` a team may pass its quota x (1 + `quota_overage`) +
    `quota_slack` calls.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50
    canary_share: float = 0.1
    heartbeat_s: float = 1.5
    config_apply_s: float = 2.5
    cold_over: float = 1.5
    cold_slack: float = 8.0
    evacuation_s: float = 5.0
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """The identity, the addresses and the bounds of one host node.

    `sections` names the parts of the operator's terms that are in force.
    """

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
    sections: frozenset[str] = frozenset()
