"""The replicated view of one node: records, suspicions and the host statuses derived from them."""

import sys
from collections.abc import Iterable
from dataclasses import replace

import msgspec

from corianderwall.membership.events import (
    EndpointAdded,
    EndpointChanged,
    EndpointRemoved,
    HostDead,
    HostJoined,
    HostLeft,
    HostReturned,
    MembershipEvent,
)
from corianderwall.membership.gossip import GossipQueues
from corianderwall.membership.messages import Life, Record, Suspicion
from corianderwall.membership.overlay import Overlay
from corianderwall.membership.records import RecordTable
from corianderwall.membership.settings import MembershipSettings
from corianderwall.membership.status import HostStatuses
from corianderwall.membership.suspicions import SuspicionTable
from corianderwall.model.endpoint import Endpoint, Host

OVERLAY_INTERVAL_S = 0.3
"""The minimum time between two computations of the overlay, since one takes milliseconds at
hundreds of hosts."""

EXPIRY_INTERVAL_S = 5.0
"""The interval between two removals of expired suspicions and tombstones."""


class View:
    """Merges updates, forwards them to the neighbours and declares agreed deaths of hosts."""

    def __init__(self, me: Host, settings: MembershipSettings, now: float) -> None:
        self._settings = settings
        self.table = RecordTable()
        self.statuses = HostStatuses()
        self.suspicions = SuspicionTable(settings.suspicion_life_s)
        self.queues = GossipQueues(settings)
        self.own_record = Record(host=me, session=me.incarnation)
        self.table.store(self.own_record, now)
        self._events: list[MembershipEvent] = []
        self._is_overlay_stale = False
        self._next_overlay_at = now
        self.overlay = Overlay([me])
        self.neighbours: tuple[str, ...] = ()
        self.region_neighbours: tuple[str, ...] = ()
        self._next_expiry_at = now
        self._are_statuses_stale = False
        self._agreed_at: dict[str, float] = {}

    @property
    def me(self) -> Host:
        """This host."""
        return self.own_record.host

    def refresh_overlay(self, now: float) -> None:
        """Recompute the overlay if hosts joined or left, at most once per interval."""
        is_too_soon = bool(self.neighbours) and now < self._next_overlay_at
        if not self._is_overlay_stale or is_too_soon:
            return
        self._is_overlay_stale = False
        self._next_overlay_at = now + OVERLAY_INTERVAL_S
        self.overlay = Overlay(record.host for record in self.table.iterate_live())
        known = set(self.neighbours)
        self.neighbours = self.overlay.find_neighbours(self.me.name)
        for peer in self.neighbours:
            if peer not in known:
                self.queues.add_record(peer, self.own_record)
        self.region_neighbours = tuple(filter(self.is_in_own_region, self.neighbours))
        self.queues.keep_peers(set(self.neighbours))

    def take_events(self) -> list[MembershipEvent]:
        """Return and forget the events since the last call."""
        events, self._events = self._events, []
        return events

    def find_host(self, name: str) -> Host | None:
        """Return a known host, including dead hosts."""
        record = self.table.get(name)
        return None if record is None else record.host

    def is_in_own_region(self, name: str) -> bool:
        """Return whether a host is in this host's region."""
        host = self.find_host(name)
        return host is not None and host.locality.region == self.me.locality.region

    def list_region_host_names(self) -> list[str]:
        """Return the names of the other hosts in view in this host's region."""
        region = self.me.locality.region
        return sorted(
            record.host.name
            for record in self.table.iterate_live()
            if record.host.locality.region == region and record.host.name != self.me.name
        )

    def publish(self, endpoints: tuple[Endpoint, ...], now: float) -> None:
        """Replace this host's endpoints and send the change to the neighbours."""
        self._store_own_record(
            msgspec.structs.replace(
                self.own_record, revision=self.own_record.revision + 1, endpoints=endpoints
            ),
            now,
        )

    def depart(self, now: float) -> None:
        """Mark this host as left and send the change to the neighbours."""
        peers = self.neighbours
        self.own_record = msgspec.structs.replace(
            self.own_record, revision=self.own_record.revision + 1, endpoints=(), life=Life.LEFT
        )
        self.table.store(self.own_record, now)
        for peer in peers:
            self.queues.add_record(peer, self.own_record)

    def merge(self, record: Record, source: str, now: float, *, may_forward: bool = True) -> bool:
        """Store a record if it is newer than the current one; return whether it was.

        If `may_forward`, it is forwarded to the neighbours. The records that a seed sends to a
        joining host are not forwarded, since the others have them already.
        """
        if record.host.name == self.me.name:
            self._reassert_own_record(record, now)
            return False
        if not self.table.is_newer(record):
            return False
        before = self.table.store(record, now)
        self._apply_change(before, record)
        if may_forward:
            self._forward_record(record, source)
        return True

    def queue_records(self, peer: str, names: Iterable[str]) -> None:
        """Queue the records of these hosts for a peer."""
        for name in names:
            record = self.table.get(name)
            if record is not None:
                self.queues.add_record(peer, record)

    def store_suspicion(self, suspicion: Suspicion, source: str, now: float) -> None:
        """Store and forward a new suspicion; refute it if it is about this host."""
        accuser = self.table.get(suspicion.accuser)
        if accuser is not None and suspicion.sequence < _find_first_sequence(accuser):
            return
        if not self.suspicions.store(suspicion, now):
            return
        self._are_statuses_stale = True
        if suspicion.subject == self.me.name and suspicion.active:
            self._refute(suspicion, now)
        for peer in self.neighbours:
            if peer not in (source, suspicion.accuser):
                self.queues.add_suspicion(peer, suspicion)

    def evaluate_suspicions(self, now: float, *, may_declare_deaths: bool) -> None:
        """Declare agreed deaths, delete what has expired and update the statuses.

        A node that may itself be isolated must not declare deaths: `may_declare_deaths` is false,
        and the waiting time of each death starts again afterwards.
        """
        if now >= self._next_expiry_at:
            self._delete_expired(now)
        if may_declare_deaths:
            self._declare_deaths(now)
        else:
            self._agreed_at.clear()
        if self._are_statuses_stale:
            self._are_statuses_stale = False
            self._events += self.statuses.update(
                self.me, self.table.iterate_live(), self.suspicions
            )

    def _delete_expired(self, now: float) -> None:
        self._next_expiry_at = now + EXPIRY_INTERVAL_S
        self.table.forget_removed(now - self._settings.tombstone_life_s)
        if self.suspicions.expire(now):
            self._are_statuses_stale = True

    def _store_own_record(self, record: Record, now: float) -> None:
        before = self.table.store(record, now)
        self.own_record = record
        self._apply_change(before, record)
        self._forward_record(record, self.me.name)

    def _reassert_own_record(self, record: Record, now: float) -> None:
        """Raise the incarnation above that of a newer record of this host from elsewhere."""
        if self.own_record.life is Life.LEFT or record.order <= self.own_record.order:
            return
        self._raise_incarnation(record.host.incarnation, now)

    def _refute(self, suspicion: Suspicion, now: float) -> None:
        if suspicion.incarnation >= self.me.incarnation and self.is_in_own_region(
            suspicion.accuser
        ):
            self._raise_incarnation(suspicion.incarnation, now)

    def _raise_incarnation(self, above: int, now: float) -> None:
        host = replace(self.me, incarnation=max(above, self.me.incarnation) + 1)
        self._store_own_record(msgspec.structs.replace(self.own_record, host=host), now)

    def _forward_record(self, record: Record, source: str) -> None:
        for peer in self.neighbours:
            if peer not in (source, record.host.name):
                self.queues.add_record(peer, record)

    def _apply_change(self, before: Record | None, after: Record) -> None:
        self._are_statuses_stale = True
        if before is None or before.life is not after.life or _has_moved(before, after):
            self._is_overlay_stale = True
        self._add_endpoint_events(before, after)
        if after.life is not Life.LIVE:
            self.statuses.forget(after.host.name)
        self.suspicions.forget_accuser(after.host.name, _find_first_sequence(after))
        self._add_life_event(before, after)

    def _add_life_event(self, before: Record | None, after: Record) -> None:
        was_live = before is not None and before.life is Life.LIVE
        if after.life is Life.DEAD and was_live:
            self._events.append(HostDead(after.host))
        elif after.life is Life.LEFT and was_live:
            self._events.append(HostLeft(after.host))
        elif after.life is Life.LIVE:
            if before is None or before.session != after.session:
                self._events.append(HostJoined(after.host))
            elif before.life is Life.DEAD:
                self._events.append(HostReturned(after.host))

    def _add_endpoint_events(self, before: Record | None, after: Record) -> None:
        old = {endpoint.name: endpoint for endpoint in before.endpoints} if before else {}
        if before is not None and before.session != after.session:
            # What the former process has announced can't be ordered with what this one announces.
            self._events += [EndpointRemoved(endpoint) for endpoint in old.values()]
            old = {}
        new = {endpoint.name: endpoint for endpoint in after.endpoints}
        for name, endpoint in new.items():
            if name not in old:
                self._events.append(EndpointAdded(endpoint))
            elif old[name] != endpoint:
                self._events.append(EndpointChanged(endpoint))
        self._events += [EndpointRemoved(old[name]) for name in old if name not in new]

    def _declare_deaths(self, now: float) -> None:
        agreed = {}
        for subject in self.suspicions.iterate_subjects():
            if (
                subject != self.me.name
                and self.is_in_own_region(subject)
                and self._is_agreed(subject)
            ):
                agreed[subject] = self._agreed_at.get(subject, now)
        self._agreed_at = agreed
        for subject, since in agreed.items():
            if now - since >= self._settings.death_wait_s:
                self._declare_dead(subject, now)

    def _is_agreed(self, subject: str) -> bool:
        """Return whether enough neighbours of a host in its region suspect it."""
        record = self.table.get(subject)
        if record is None or record.life is not Life.LIVE:
            return False
        accusers = [
            accuser
            for accuser in self.suspicions.list_accusers(subject, record.host.incarnation)
            if self._is_live(accuser)
            and self.is_in_own_region(accuser)
            and not self._is_suspected(accuser)
        ]
        eligible = [
            name
            for name in self.overlay.find_neighbours(subject)
            if self.is_in_own_region(name) and not self._is_suspected(name)
        ]
        required = min(self._settings.required_accusers, len(eligible))
        return len(accusers) >= max(1, required)

    def _is_live(self, name: str) -> bool:
        record = self.table.get(name)
        return record is not None and record.life is Life.LIVE

    def _is_suspected(self, name: str) -> bool:
        host = self.find_host(name)
        return host is not None and bool(self.suspicions.list_accusers(name, host.incarnation))

    def _declare_dead(self, subject: str, now: float) -> None:
        record = self.table.get(subject)
        if record is not None:
            dead = msgspec.structs.replace(record, life=Life.DEAD, endpoints=())
            self.merge(dead, self.me.name, now)


def _has_moved(before: Record, after: Record) -> bool:
    return before.host.locality != after.host.locality


def _find_first_sequence(accuser: Record) -> int:
    """Return the lowest valid sequence of an accuser; its sequences start at its session."""
    return accuser.session if accuser.life is Life.LIVE else sys.maxsize
