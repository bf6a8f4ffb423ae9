"""Joining by seeds: asking them, and answering those that ask."""

import random
from collections.abc import Iterable

from corianderwall.membership.messages import JoinReply, JoinRequest
from corianderwall.membership.records import pack_records
from corianderwall.membership.settings import MembershipSettings
from corianderwall.membership.view import View
from corianderwall.model.endpoint import Host
from corianderwall.model.message import OutgoingMessage

ASK_INTERVAL_S = 0.5
LATE_ASK_INTERVAL_S = 10.0
EARLY_ASKS = 20
"""How often each seed is asked at the shorter interval."""

MAX_SEEDS = 32
SAMPLE_SIZE = 32
"""Hosts in the answer of a seed that has given out enough whole views; anti-entropy with
those brings the rest."""


class Seeding:
    """Asks the seeds in turn until one answers, and later those that are still not in view.

    A seed that is not in view may belong to another part of the fleet that started apart.
    """

    def __init__(self, view: View, settings: MembershipSettings) -> None:
        self._view = view
        self._settings = settings
        self._seeds: list[Host] = []
        self._asked = 0
        self._next_ask_at = 0.0
        self._is_answered = False
        self._window_ends_at = 0.0
        self._whole_views_left = 0

    @property
    def is_done(self) -> bool:
        """Whether a seed has answered, or there was none to ask."""
        return self._is_answered

    def find_host(self, name: str) -> Host | None:
        """Return a seed by its name."""
        return next((seed for seed in self._seeds if seed.name == name), None)

    def start(self, seeds: Iterable[Host], now: float) -> list[OutgoingMessage]:
        """Add seeds and ask the next one; without any seed this host is the first."""
        added = {seed.name: seed for seed in seeds if seed.name != self._view.me.name}
        kept = [seed for seed in self._seeds if seed.name not in added]
        self._seeds = [*kept, *added.values()][-MAX_SEEDS:]
        self._is_answered = self._is_answered or not self._seeds
        self._next_ask_at = now
        return self.tick(now)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Ask the next seed that is not in view."""
        if now < self._next_ask_at:
            return []
        unseen = [seed for seed in self._seeds if self._view.table.get(seed.name) is None]
        asked = unseen if self._is_answered else self._seeds
        if not asked:
            return []
        is_early = not self._is_answered or self._asked < EARLY_ASKS * len(self._seeds)
        self._next_ask_at = now + (ASK_INTERVAL_S if is_early else LATE_ASK_INTERVAL_S)
        seed = asked[self._asked % len(asked)]
        self._asked += 1
        return [OutgoingMessage(seed.name, JoinRequest(pack_records([self._view.mine])))]

    def note_reply(self) -> None:
        """Record that a seed has answered."""
        self._is_answered = True

    def make_reply(self, rng: random.Random, now: float) -> JoinReply:
        """Return the whole view, or a sample when many have asked within the second."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._whole_views_left = self._settings.whole_views_per_s
        records = list(self._view.table.iterate_live())
        is_whole = self._whole_views_left > 0 or len(records) <= SAMPLE_SIZE
        if is_whole:
            self._whole_views_left -= 1
            records += self._view.table.list_removed()
        else:
            records = [self._view.mine, *rng.sample(records, SAMPLE_SIZE)]
        return JoinReply(pack_records(records), is_whole)
