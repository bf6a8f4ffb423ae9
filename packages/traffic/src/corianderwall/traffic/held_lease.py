"""The connection leases of one endpoint that a node holds, and the calls that run on them."""

from math import ceil

from corianderwall.traffic.messages import EndpointGrant, LeaseDemand, Pressure, SubscriberUsage

DEMAND_MARGIN = 1.25
"""Ratio of the wanted leases to the recent peak concurrency."""
EARLY_RENEWAL_GROWTH = 1.25
"""Growth factor of the wanted leases that triggers a request before the renewal is due."""
CLOCK_DRIFT_MARGIN = 0.02
"""Fraction of each term that stays unused, as the clocks of two nodes may drift apart."""


class HeldLease:
    """The leases of one endpoint at their holder; all times are of the holder's clock.

    Only grants for requests after `serial` are applied, as this object knows nothing of
    earlier requests.
    """

    __slots__ = (
        "_last_peak",
        "_peak",
        "_uses",
        "applied_serial",
        "count",
        "deadline",
        "endpoint",
        "has_endpoint_left",
        "idle_since",
        "in_use",
        "max_call_s",
        "over_share",
        "owner",
        "pressure",
        "reported_wanted",
        "running",
    )

    def __init__(self, endpoint: str, owner: str, serial: int, now: float) -> None:
        self.endpoint = endpoint
        self.owner = owner
        self.count = 0
        self.deadline = float("-inf")
        self.max_call_s = 0.0
        self.applied_serial = serial
        self.reported_wanted = 0
        self.pressure = Pressure(-1, -1)
        self.running = 0
        self.in_use = 0
        self.has_endpoint_left = False
        self.idle_since = now
        self.over_share: frozenset[str] = frozenset()
        self._peak = 0
        self._last_peak = 0
        self._uses: dict[str, _DirectUse] = {}

    @property
    def wanted(self) -> int:
        """The number of leases needed for the recent peak concurrency."""
        if self.has_endpoint_left:
            return 0
        return ceil(max(self._peak, self._last_peak) * DEMAND_MARGIN)

    @property
    def needs_early_renewal(self) -> bool:
        """Whether more leases are needed than granted, and far more than last requested."""
        return self.wanted > max(self.count, self.reported_wanted * EARLY_RENEWAL_GROWTH)

    def is_idle(self, since: float) -> bool:
        """Return whether no call has run after the time `since`."""
        return not self.running and self.idle_since <= since

    def read_connection_limit(self, now: float) -> int:
        """Return the maximum number of open connections; calls that run above it may still end."""
        return self.count if now < self.deadline else 0

    def has_free(self, now: float) -> bool:
        """Return whether there is a valid lease that no call uses."""
        return self.in_use < self.count and now < self.deadline and not self.pressure.saturated

    def allows_direct(self, call_deadline: float, now: float) -> bool:
        """Return whether a call of a flow within its share may go directly to the endpoint."""
        return self.has_free(now) and call_deadline <= now + self.max_call_s

    def begin(self, flow: str, now: float, *, direct: bool) -> None:
        """Count the start of a call, direct or through the owner."""
        self.running += 1
        self._peak = max(self._peak, self.running)
        if direct:
            self.in_use += 1
            self._find_use(flow, now).change(1, now)

    def end(self, flow: str, now: float, *, direct: bool) -> None:
        """Count the end of a call."""
        self.running -= 1
        self.idle_since = now
        if direct:
            self.in_use -= 1
            self._find_use(flow, now).change(-1, now)

    def apply(self, grant: EndpointGrant, serial: int, sent_at: float) -> bool:
        """Apply a grant, whose term starts with the request; return whether leases were lost."""
        if serial <= self.applied_serial:
            return False
        is_reduced = grant.count < self.count
        self.applied_serial = serial
        self.count = grant.count
        self.max_call_s = grant.call_ms / 1000 * (1 - CLOCK_DRIFT_MARGIN)
        self.deadline = sent_at + grant.term_ms / 1000 * (1 - CLOCK_DRIFT_MARGIN)
        return is_reduced

    def return_leases(self, serial: int) -> None:
        """Stop using the grants for requests up to `serial`; running calls may still end."""
        self.count = 0
        self.deadline = float("-inf")
        self.applied_serial = max(self.applied_serial, serial)

    def update_pressure(self, pressure: Pressure) -> None:
        """Update the pressure if the owner's is newer than the known one."""
        known = (self.pressure.session, self.pressure.sequence)
        if (pressure.session, pressure.sequence) > known:
            self.pressure = pressure
            self.over_share = frozenset(pressure.over_share)

    def make_demand(self, now: float) -> LeaseDemand:
        """Return the demand of the current period and begin the next."""
        usage = tuple(use.report(flow, now) for flow, use in self._uses.items())
        self._uses = {flow: use for flow, use in self._uses.items() if use.running}
        demand = LeaseDemand(self.endpoint, self.wanted, self.applied_serial, self.in_use, usage)
        self.reported_wanted = demand.wanted
        self._last_peak, self._peak = self._peak, self.running
        return demand

    def _find_use(self, flow: str, now: float) -> "_DirectUse":
        use = self._uses.get(flow)
        if use is None:
            use = self._uses[flow] = _DirectUse(now)
        return use


class _DirectUse:
    """The direct calls of one flow since the last report, including running calls."""

    __slots__ = ("_busy_s", "_calls", "_changed_at", "running")

    def __init__(self, now: float) -> None:
        self.running = 0
        self._calls = 0
        self._busy_s = 0.0
        self._changed_at = now

    def change(self, step: int, now: float) -> None:
        """Add `step` to the number of running calls."""
        self._busy_s += self.running * (now - self._changed_at)
        self._changed_at = now
        self.running += step
        self._calls += step > 0

    def report(self, flow: str, now: float) -> SubscriberUsage:
        """Return the usage since the last report and reset it."""
        self.change(0, now)
        usage = SubscriberUsage(flow, self._calls, round(self._busy_s * 1000))
        self._calls = 0
        self._busy_s = 0.0
        return usage
