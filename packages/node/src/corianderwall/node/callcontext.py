"""The objects that all calls of a node share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from corianderwall.model.clock import Clock
from corianderwall.model.endpoint import Address, Endpoint
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.node.admission import AdmissionController
from corianderwall.node.logs import LogBudget
from corianderwall.node.metrics import CallMetrics
from corianderwall.node.pools import UpstreamPools
from corianderwall.traffic.balancer import Balancer
from corianderwall.traffic.lease_holder import LeaseHolder
from corianderwall.traffic.retries import RetryPolicy
from corianderwall.traffic.suspects import Suspects

MAX_LOGGED_FAILURES_PER_S = 10
"""Limit on log lines about failed calls per second."""


class MoveView(Protocol):
    """The interface of the running moves to the call path."""

    def choose_version(self, service: str, sticky: str = "") -> str:
        """Return the version for a call of a service under a move, empty without a move."""

    def record(self, outcome: AttemptOutcome) -> None:
        """Count the outcome of one attempt."""

    def list_ejected(self, service: str) -> frozenset[str]:
        """Return the endpoints of a service that a running move has ejected."""


class CrashReports(Protocol):
    """The interface of the crash monitor to the call path."""

    def report_loss(self, endpoint: Endpoint, call_id: str, fingerprint: str) -> None:
        """Report a call that `endpoint` has lost."""

    def start_trial(self, fingerprint: str) -> None:
        """Tell all nodes that a request is tried again after its quarantine."""

    def record_response(self, fingerprint: str) -> None:
        """Tell all nodes that an endpoint has answered a request, if it is a suspect."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallContext:
    """The objects that calls use; `find_call_address` resolves the name of a node."""

    node: str
    clock: Clock
    random: Random
    balancer: Balancer
    leases: LeaseHolder
    pools: UpstreamPools
    admission: AdmissionController
    moves: MoveView
    metrics: CallMetrics
    retries: RetryPolicy
    suspects: Suspects
    crashes: CrashReports
    call_later: Callable[[float, Callable[[], None]], object]
    find_call_address: Callable[[str], Address | None]
    wake_share_timer: Callable[[], None]
    max_attempts: int = 3
    log_budget: LogBudget = field(default_factory=lambda: LogBudget(MAX_LOGGED_FAILURES_PER_S))
