"""The status of each host, computed from the records and suspicions that this node has."""

import enum
from collections import Counter
from collections.abc import Iterable

from corianderwall.membership.events import (
    HostReturned,
    HostSuspected,
    HostUnreachable,
    MembershipEvent,
)
from corianderwall.membership.messages import Record
from corianderwall.membership.suspicions import SuspicionTable
from corianderwall.model.endpoint import Host


class Status(enum.StrEnum):
    """The status of a host in view; only `LIVE` hosts are sent calls."""

    LIVE = "live"
    SUSPECTED = "suspected"
    UNREACHABLE = "unreachable"


class HostStatuses:
    """Keeps the status of every host in view and reports changes as events."""

    def __init__(self) -> None:
        self._statuses: dict[str, Status] = {}

    def get(self, name: str) -> Status:
        """Return the status of a host in view."""
        return self._statuses.get(name, Status.LIVE)

    def forget(self, name: str) -> None:
        """Forget a host that is no longer in view."""
        self._statuses.pop(name, None)

    def count(self) -> Counter[Status]:
        """Return the number of hosts in each status except `LIVE`."""
        return Counter(self._statuses.values())

    def update(
        self, me: Host, records: Iterable[Record], suspicions: SuspicionTable
    ) -> list[MembershipEvent]:
        """Recompute all statuses and return an event for each change."""
        hosts = {record.host.name: record.host for record in records}
        statuses = _evaluate_hosts(me, hosts, suspicions)
        events: list[MembershipEvent] = []
        for name, status in statuses.items():
            if status is not self.get(name):
                events.append(_make_event(hosts[name], status))
        for name in self._statuses.keys() - statuses.keys():
            if name in hosts:
                events.append(HostReturned(hosts[name]))
        self._statuses = statuses
        return events


def _make_event(host: Host, status: Status) -> MembershipEvent:
    if status is Status.SUSPECTED:
        return HostSuspected(host)
    return HostUnreachable(host)


def _evaluate_hosts(
    me: Host, hosts: dict[str, Host], suspicions: SuspicionTable
) -> dict[str, Status]:
    statuses: dict[str, Status] = {}
    for subject in suspicions.iterate_subjects():
        host = hosts.get(subject)
        if host is not None and subject != me.name:
            status = _evaluate_host(me, host, hosts, suspicions)
            if status is not Status.LIVE:
                statuses[subject] = status
    statuses.update(_mark_unreachable_regions(me, hosts, statuses))
    return statuses


def _evaluate_host(
    me: Host, host: Host, hosts: dict[str, Host], suspicions: SuspicionTable
) -> Status:
    regions = {
        hosts[accuser].locality.region
        for accuser in suspicions.list_accusers(host.name, host.incarnation)
        if accuser in hosts
    }
    if host.locality.region in regions:
        return Status.SUSPECTED
    if me.locality.region in regions:
        return Status.UNREACHABLE
    return Status.LIVE


def _mark_unreachable_regions(
    me: Host, hosts: dict[str, Host], statuses: dict[str, Status]
) -> dict[str, Status]:
    """Return `UNREACHABLE` for all hosts of remote regions with most hosts unreachable."""
    lost = Counter(
        hosts[name].locality.region
        for name, status in statuses.items()
        if status is Status.UNREACHABLE
    )
    if not lost:
        return {}
    sizes = Counter(host.locality.region for host in hosts.values())
    return {
        name: Status.UNREACHABLE
        for name, host in hosts.items()
        if host.locality.region != me.locality.region
        and lost[host.locality.region] * 2 > sizes[host.locality.region]
    }
