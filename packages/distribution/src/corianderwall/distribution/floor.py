"""The version floor: the lowest version that a node may activate after a restart.

A restarted node has lost its snapshots. Without the floor it could activate an older version than
the one that was active before.
"""

import random
from dataclasses import dataclass

from corianderwall.distribution.events import DistributionEvent, HeadReadRequested
from corianderwall.distribution.members import Members
from corianderwall.distribution.messages import (
    FloorQuery,
    FloorResponse,
    HeadRequest,
)
from corianderwall.distribution.placement import choose_watchers
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.model.endpoint import Host
from corianderwall.model.message import OutgoingMessage


@dataclass(slots=True)
class FloorActions:
    """The messages to send and the events to report from one tick of the floor search."""

    outgoing: list[OutgoingMessage]
    events: list[DistributionEvent]


class FloorSearch:
    """Uses the platform's head, read after the start, or else the highest version of the region.

    The nonce is drawn once per process, so a response with it was sent after the start.
    """

    def __init__(
        self, members: Members, settings: DistributionSettings, rng: random.Random, now: float
    ) -> None:
        self._members = members
        self._settings = settings
        self._started_at = now
        self._nonce = rng.getrandbits(62)
        self._responses: dict[str, FloorResponse] = {}
        self._next_head_request_at = now + rng.random() * settings.head_ask_interval_s
        self._next_query_at = now + settings.floor_query_after_s
        self._queue: list[str] = []
        self._head_requests_sent = 0
        self._view_digest = members.view_digest
        self._view_settles_at = now + settings.view_settle_s
        self.is_view_settled = False
        """Whether the view has stopped changing; until then the watchers are not known."""

        self.floor: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether the floor is known."""
        return self.floor is not None

    def record_platform_head(self, version: int) -> None:
        """Record the platform's head that this process has read."""
        if self.floor is None:
            self.floor = version

    def record_head(self, nonce: int, version: int) -> None:
        """Record the platform's head that a watcher has read at the request of this process."""
        if nonce == self._nonce:
            self.record_platform_head(version)

    def record_response(self, peer: str, response: FloorResponse) -> None:
        """Record the response of a host of this region."""
        if response.nonce == self._nonce and self.floor is None:
            self._responses[peer] = response
            self._update_floor()

    def tick(self, now: float) -> FloorActions:
        """Ask the watchers, then the whole region, until the floor is known."""
        self._track_view(now)
        actions = FloorActions([], [])
        if self.is_known:
            return actions
        is_alone = now - self._started_at >= self._settings.join_wait_s
        if now >= self._next_head_request_at and (self._members.has_joined or is_alone):
            self._next_head_request_at = now + self._settings.head_ask_interval_s
            self._request_head(actions)
        if now >= self._next_query_at:
            self._next_query_at = now + self._settings.floor_query_interval_s
            self._queue = self._list_hosts_to_query()
        batch = self._settings.floor_queries_per_tick
        names, self._queue = self._queue[:batch], self._queue[batch:]
        actions.outgoing += [OutgoingMessage(name, FloorQuery(self._nonce)) for name in names]
        self._update_floor()
        return actions

    def _track_view(self, now: float) -> None:
        if self._members.view_digest != self._view_digest:
            self._view_digest = self._members.view_digest
            self._view_settles_at = now + self._settings.view_settle_s
        self.is_view_settled = now >= self._view_settles_at

    def _request_head(self, actions: FloorActions) -> None:
        watchers = choose_watchers(
            self._list_region(), per_region=self._settings.watchers_per_region
        )
        watcher = watchers[self._head_requests_sent % len(watchers)]
        self._head_requests_sent += 1
        if watcher.name != self._members.me.name:
            actions.outgoing.append(OutgoingMessage(watcher.name, HeadRequest(self._nonce)))
        elif self.is_view_settled:
            actions.events.append(HeadReadRequested())

    def _list_region(self) -> list[Host]:
        region = self._members.me.locality.region
        return [host for host in self._members.list_hosts() if host.locality.region == region]

    def _list_others(self) -> list[str]:
        me = self._members.me.name
        return [host.name for host in self._list_region() if host.name != me]

    def _list_hosts_to_query(self) -> list[str]:
        """Return the hosts without a response, or with one during recovery or for another view."""
        return [name for name in self._list_others() if not self._has_usable_response(name)]

    def _has_usable_response(self, name: str) -> bool:
        response = self._responses.get(name)
        if response is None:
            return False
        return not response.is_recovering and response.view_digest == self._members.view_digest

    def _update_floor(self) -> None:
        """Set the floor once every host of the region has responded.

        At least one that is not recovering must have this node's view: with a different view, a
        host of the region could be missing here.
        """
        others = self._list_others()
        if not self._members.has_joined or not all(name in self._responses for name in others):
            return
        if not any(self._has_usable_response(name) for name in others):
            return
        self.floor = max(self._responses[name].version for name in others)
