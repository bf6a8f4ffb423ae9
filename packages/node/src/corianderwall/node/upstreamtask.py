"""Publishes the state of the upstream beside this node to the mesh."""

from typing import TYPE_CHECKING

from corianderwall.model.endpoint import EndpointState
from corianderwall.node.logs import log_info, log_warning
from corianderwall.node.upstream import LocalUpstream
from corianderwall.traffic.draining import DRAIN_PROPAGATION_S

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Endpoint
    from corianderwall.node.admin import Announcement
    from corianderwall.node.parts import NodeParts


class UpstreamTask:
    """Handles the upstream's announcements; updates admission control and the membership."""

    def __init__(self, parts: "NodeParts") -> None:
        self._parts = parts
        self._upstream = LocalUpstream(parts.host)

    def announce_upstream(self, announcement: "Announcement") -> None:
        """Process an announcement of the upstream, which may be ready or draining."""
        timer = self._parts.timer
        self._parts.crashes.confirm_endpoint()
        endpoint = self._upstream.announce(
            announcement, now=timer.read_monotonic(), unix_ms=int(timer.read_unix() * 1000)
        )
        if endpoint is not None:
            self._publish(endpoint)

    def withdraw_upstream(self) -> None:
        """Start to drain the upstream, as it is shutting down."""
        unix_ms = int(self._parts.timer.read_unix() * 1000)
        endpoint = self._upstream.drain(unix_ms=unix_ms)
        if endpoint is not None:
            self._publish(endpoint)

    def tick(self) -> None:
        """Remove an upstream that is no longer announced; repeat the drain notices."""
        if self._is_draining():
            self._parts.admission.announce_drain()
        now = self._parts.timer.read_monotonic()
        lost = self._upstream.find_lost(now)
        if lost is None:
            return
        self._parts.admission.clear_endpoint()
        self._parts.control.send(self._parts.membership.withdraw(lost.name, now))
        self._parts.control.apply_events()
        log_warning("the upstream stopped announcing itself", endpoint=lost.name)

    def _publish(self, endpoint: "Endpoint") -> None:
        parts = self._parts
        now = parts.timer.read_monotonic()
        parts.admission.set_endpoint(endpoint, now)
        if self._is_draining():
            parts.admission.announce_drain()
            parts.loop.call_later(DRAIN_PROPAGATION_S, self._refuse_work)
        parts.control.send(parts.membership.announce(endpoint, now))
        parts.control.apply_events()
        log_info("announced the upstream", endpoint=endpoint.name, state=endpoint.state.value)

    def _refuse_work(self) -> None:
        """Refuse new calls, as by now every node has been notified of the drain."""
        if self._is_draining():
            now = self._parts.timer.read_monotonic()
            timeout_s = self._parts.settings.calls.drain_timeout_s
            self._parts.admission.begin_drain(now, now + timeout_s)

    def _is_draining(self) -> bool:
        endpoint = self._upstream.endpoint
        return endpoint is not None and endpoint.state is EndpointState.DRAINING
