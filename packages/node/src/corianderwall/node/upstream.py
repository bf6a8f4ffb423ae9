"""The upstream beside this node, as it announces itself."""

from dataclasses import replace
from typing import TYPE_CHECKING

from corianderwall.model.endpoint import Address, Endpoint, EndpointState

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Host
    from corianderwall.node.admin import Announcement

SILENCE_S = 3.0


class LocalUpstream:
    """Turns repeated announcements into one endpoint and notices when they stop.

    The incarnation of the endpoint grows with each change, and starts from the wall clock so
    that a node which restarts with no memory is not older than before.
    """

    def __init__(self, host: "Host") -> None:
        self._host = host
        self._endpoint: Endpoint | None = None
        self._incarnation = 0
        self._silence_deadline = 0.0

    @property
    def endpoint(self) -> Endpoint | None:
        """Return the endpoint as last announced, None while there is none."""
        return self._endpoint

    def announce(
        self, announcement: "Announcement", *, now: float, unix_ms: int
    ) -> Endpoint | None:
        """Note an announcement; return the endpoint if the other nodes must hear of it."""
        self._silence_deadline = now + SILENCE_S
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
        """Return the endpoint as draining, None if there is none or it drains already."""
        current = self._endpoint
        if current is None or current.state is EndpointState.DRAINING:
            return None
        return self._replace(replace(current, state=EndpointState.DRAINING), unix_ms)

    def find_lost(self, now: float) -> Endpoint | None:
        """Return and forget the endpoint if its announcements have stopped for `SILENCE_S`."""
        if self._endpoint is None or now < self._silence_deadline:
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
