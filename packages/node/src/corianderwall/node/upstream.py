"""Tracks the upstream beside this node by its announcements."""

from dataclasses import replace
from typing import TYPE_CHECKING

from corianderwall.model.endpoint import Address, Endpoint, EndpointState

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Host
    from corianderwall.node.admin import Announcement

ANNOUNCEMENT_TIMEOUT_S = 3.0


class LocalUpstream:
    """Turns repeated announcements into one endpoint and detects when they stop.

    The incarnation of the endpoint increases with each change. It starts at the wall clock time,
    so that it is higher than before when the node restarts without its state.
    """

    def __init__(self, host: "Host") -> None:
        self._host = host
        self._endpoint: Endpoint | None = None
        self._incarnation = 0
        self._announcement_deadline = 0.0

    @property
    def endpoint(self) -> Endpoint | None:
        """Return the endpoint as last announced, None without one."""
        return self._endpoint

    def announce(
        self, announcement: "Announcement", *, now: float, unix_ms: int
    ) -> Endpoint | None:
        """Process an announcement; return the endpoint if it has changed, None otherwise."""
        self._announcement_deadline = now + ANNOUNCEMENT_TIMEOUT_S
        current = self._endpoint
        address = Address(host=announcement.host, port=announcement.port)
        candidate = Endpoint(
            name=f"{self._host.name}.{announcement.port}",
            service=announcement.service,
            version=announcement.version,
            node=self._host.name,
            locality=self._host.locality,
            address=address,
            slots=announcement.slots,
            connections=announcement.connections,
            state=announcement.state,
            started_unix_ms=current.started_unix_ms if current else unix_ms,
            incarnation=current.incarnation if current else 0,
        )
        if candidate == current:
            return None
        return self._replace(candidate, unix_ms)

    def drain(self, *, unix_ms: int) -> Endpoint | None:
        """Mark the endpoint as draining and return it, None if there is none or it is draining."""
        current = self._endpoint
        if current is None or current.state is EndpointState.DRAINING:
            return None
        return self._replace(replace(current, state=EndpointState.DRAINING), unix_ms)

    def find_lost(self, now: float) -> Endpoint | None:
        """Remove and return the endpoint if it was not announced for `ANNOUNCEMENT_TIMEOUT_S`."""
        if self._endpoint is None or now < self._announcement_deadline:
            return None
        lost = self._endpoint
        self._endpoint = None
        return lost

    def _replace(self, candidate: Endpoint, unix_ms: int) -> Endpoint:
        self._incarnation = max(unix_ms, self._incarnation + 1)
        current = self._endpoint
        if current is not None and current.name != candidate.name:
            candidate = replace(candidate, started_unix_ms=unix_ms)
        self._endpoint = replace(candidate, incarnation=self._incarnation)
        return self._endpoint
