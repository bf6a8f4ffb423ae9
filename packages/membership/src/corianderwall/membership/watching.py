"""Heartbeats to the neighbours, and suspicions of those that have failed."""

import random

from corianderwall.membership.detector import FailureDetector
from corianderwall.membership.events import MembershipEvent
from corianderwall.membership.localhealth import LocalHealth
from corianderwall.membership.messages import Heartbeat, Life, Suspicion
from corianderwall.membership.settings import MembershipSettings
from corianderwall.membership.view import View
from corianderwall.model.message import OutgoingMessage

REMOVED_PROBE_INTERVAL_S = 10.0
"""The interval between heartbeats to one random dead or departed host, to notice its return."""

REVIEW_INTERVAL_S = 0.25
"""The interval between two checks of the neighbours for silence."""


class NeighbourMonitor:
    """Exchanges heartbeats with the neighbours and accuses those that have failed."""

    def __init__(
        self, view: View, settings: MembershipSettings, rng: random.Random, now: float
    ) -> None:
        self._view = view
        self._settings = settings
        self._rng = rng
        self.detector = FailureDetector(settings, self._find_probers)
        self._local_health = LocalHealth(settings.sample_fraction_min, rng, now + settings.grace_s)
        self.advert = b""
        self._last_tick_at = now
        self._next_heartbeat_at = now
        self._next_review_at = now
        self._next_removed_probe_at = now + REMOVED_PROBE_INTERVAL_S
        self._next_sequence = view.me.incarnation
        self._events: list[MembershipEvent] = []

    def may_be_isolated(self, now: float) -> bool:
        """Return whether this node was paused or is isolated, so that its view may be stale."""
        return (
            now - self._last_tick_at > self._settings.pause_s
            or self._local_health.may_be_isolated(now)
        )

    def take_events(self) -> list[MembershipEvent]:
        """Return and forget the events since the last call."""
        events, self._events = self._events, []
        return events

    def record_heard(self, peer: str, now: float) -> None:
        """Record that a message of any kind from a peer has arrived."""
        self.detector.record_heard(peer, now)
        self._local_health.record_heard(peer)

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Return the heartbeats and probes that are due and check for silent neighbours."""
        if now - self._last_tick_at > self._settings.pause_s:
            self._local_health.record_pause(now + self._settings.grace_s)
            self.detector.reset_silence(now)
        self._last_tick_at = now
        outgoing: list[OutgoingMessage] = []
        if now >= self._next_review_at:
            self._next_review_at = now + REVIEW_INTERVAL_S
            outgoing += self._check_neighbours(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._settings.heartbeat_interval_s
            outgoing += [self.make_heartbeat(peer, now) for peer in self._view.neighbours]
        return outgoing + self._probe_removed(now)

    def make_heartbeat(
        self, peer: str, now: float, *, wants_reply: bool = False
    ) -> OutgoingMessage:
        """Return a heartbeat for a peer."""
        return OutgoingMessage(
            peer,
            Heartbeat(
                incarnation=self._view.me.incarnation,
                view_digest=self._view.table.digest,
                suspicion_digest=self._view.suspicions.digest,
                hears_you=self.detector.hears(peer, now),
                wants_reply=wants_reply,
                advert=self.advert,
            ),
        )

    def _find_probers(self, subject: str) -> tuple[str, ...]:
        names = self._view.overlay.find_neighbours(subject)
        return tuple(name for name in names if name != self._view.me.name)

    def _check_neighbours(self, now: float) -> list[OutgoingMessage]:
        dropped = self.detector.watch_only(self._view.neighbours, now)
        outgoing = self._sample_hosts(now)
        findings = self.detector.run_round(lambda name: self._may_accuse(name, now), now)
        self._events += findings.events
        for name in findings.accused:
            self._publish_suspicion(name, active=True, now=now)
        for name in [*findings.cleared, *dropped]:
            self._publish_suspicion(name, active=False, now=now)
        return outgoing + findings.outgoing

    def _sample_hosts(self, now: float) -> list[OutgoingMessage]:
        watched = self._view.region_neighbours
        silent = [name for name in watched if not self.detector.hears(name, now)]
        candidates = self._view.list_region_host_names() if len(silent) * 2 > len(watched) else []
        names = self._local_health.update(len(silent), len(watched), candidates, now)
        return [self.make_heartbeat(name, now, wants_reply=True) for name in names]

    def _may_accuse(self, name: str, now: float) -> bool:
        """Return whether a silent host may be accused, rather than this node being at fault."""
        if self._view.is_in_own_region(name):
            return not self._local_health.may_be_isolated(now)
        return not self._local_health.is_in_grace(now)

    def _publish_suspicion(self, name: str, *, active: bool, now: float) -> None:
        record = self._view.table.get(name)
        if record is None or record.life is not Life.LIVE:
            return
        self._next_sequence += 1
        self._view.store_suspicion(
            Suspicion(
                accuser=self._view.me.name,
                subject=name,
                incarnation=record.host.incarnation,
                sequence=self._next_sequence,
                active=active,
            ),
            source=self._view.me.name,
            now=now,
        )

    def _probe_removed(self, now: float) -> list[OutgoingMessage]:
        if now < self._next_removed_probe_at:
            return []
        self._next_removed_probe_at = now + REMOVED_PROBE_INTERVAL_S
        removed = [
            record.host.name
            for record in self._view.table.list_removed()
            if record.host.name != self._view.me.name
        ]
        if not removed:
            return []
        return [self.make_heartbeat(self._rng.choice(removed), now, wants_reply=True)]
