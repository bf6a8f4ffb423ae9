"""Joining through seeds: the requests to them, and the responses of a seed."""

import random
from collections.abc import Iterable

from corianderwall.membership.messages import JoinReply, JoinRequest
from corianderwall.membership.records import pack_records
from corianderwall.membership.settings import MembershipSettings
from corianderwall.membership.view import View
from corianderwall.model.endpoint import Host
from corianderwall.model.message import OutgoingMessage

REQUEST_INTERVAL_S = 0.5
LATE_REQUEST_INTERVAL_S = 10.0
EARLY_REQUESTS = 20
"""The number of requests to each seed at the shorter interval."""

MAX_SEEDS = 32
SAMPLE_SIZE = 32
"""The number of hosts in the response of a seed that has reached its limit of whole views;
anti-entropy with these hosts adds the rest."""


class SeedExchange:
    """Sends join requests to the seeds in turn until one responds, and responds to those of others.

    Afterwards it keeps asking the seeds that are not in view: they may belong to a part of the
    fleet that was partitioned from this one at its start.
    """

    def __init__(self, view: View, settings: MembershipSettings) -> None:
        self._view = view
        self._settings = settings
        self._seeds: list[Host] = []
        self._requests_sent = 0
        self._next_request_at = 0.0
        self._has_response = False
        self._window_ends_at = 0.0
        self._whole_views_left = 0

    @property
    def has_joined(self) -> bool:
        """Whether a seed has responded, or there are no seeds."""
        return self._has_response

    def find_host(self, name: str) -> Host | None:
        """Return the seed of this name."""
        return next((seed for seed in self._seeds if seed.name == name), None)

    def start(self, seeds: Iterable[Host], now: float) -> list[OutgoingMessage]:
        """Add seeds and send the next join request; without any seed this host is the first."""
        added = {seed.name: seed for seed in seeds if seed.name != self._view.me.name}
        kept = [seed for seed in self._seeds if seed.name not in added]
        self._seeds = [*kept, *added.values()][-MAX_SEEDS:]
        self._has_response = self._has_response or not self._seeds
        self._next_request_at = now
        return self.tick(now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Send a join request to the next seed when one is due."""
        if now < self._next_request_at:
            return []
        unseen = [seed for seed in self._seeds if self._view.table.get(seed.name) is None]
        targets = unseen if self._has_response else self._seeds
        if not targets:
            return []
        is_early = not self._has_response or self._requests_sent < EARLY_REQUESTS * len(self._seeds)
        self._next_request_at = now + (REQUEST_INTERVAL_S if is_early else LATE_REQUEST_INTERVAL_S)
        seed = targets[self._requests_sent % len(targets)]
        self._requests_sent += 1
        return [OutgoingMessage(seed.name, JoinRequest(pack_records([self._view.own_record])))]

    def record_reply(self) -> None:
        """Record that a seed has responded."""
        self._has_response = True

    def make_reply(self, rng: random.Random, now: float) -> JoinReply:
        """Return the whole view, or a sample when the limit of this second is reached."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._whole_views_left = self._settings.whole_views_per_s
        records = list(self._view.table.iterate_live())
        is_whole = self._whole_views_left > 0 or len(records) <= SAMPLE_SIZE
        if is_whole:
            self._whole_views_left -= 1
            records += self._view.table.list_removed()
        else:
            records = [self._view.own_record, *rng.sample(records, SAMPLE_SIZE)]
        return JoinReply(pack_records(records), is_whole)
