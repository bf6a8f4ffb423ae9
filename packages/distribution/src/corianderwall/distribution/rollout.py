"""The active versions of the hosts: reports to collectors, and queries to them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from corianderwall.distribution.members import Members
from corianderwall.distribution.messages import ActiveVersion, RolloutQuery, RolloutResponse
from corianderwall.distribution.placement import choose_collectors
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.model.message import OutgoingMessage


@dataclass(frozen=True, slots=True)
class Rollout:
    """The rollout of a version; `lacking` names the hosts in view not known to have it active."""

    version: int
    confirmed: int
    lacking: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether the version, or a newer one, is active on every host in view."""
        return not self.lacking


@dataclass(slots=True)
class _Wait:
    deadline: float
    next_query_at: float
    confirmed: dict[str, int] = field(default_factory=dict)


class RolloutTracker:
    """Reports this node's version to its zone's collectors, collects reports and queries others."""

    def __init__(self, members: Members, settings: DistributionSettings, session: int) -> None:
        self._members = members
        self._settings = settings
        self._session = session
        self._reports: dict[str, tuple[int, int]] = {}
        self._waits: dict[int, _Wait] = {}
        self._next_report_at = 0.0
        self._next_check_at = 0.0
        self._collectors: tuple[str, ...] = ()

    def report(self, version: int, now: float) -> list[OutgoingMessage]:
        """Report the active version of this node to the collectors of its zone."""
        self._next_report_at = now + self._settings.report_interval_s
        self._collectors = self._find_collectors(self._members.me.locality.zone)
        message = ActiveVersion(self._session, version)
        self.record_report(self._members.me.name, message)
        return self._make_messages(self._collectors, message)

    def record_report(self, peer: str, report: ActiveVersion) -> None:
        """Record the active version of a host."""
        known = self._reports.get(peer, (0, 0))
        self._reports[peer] = max(known, (report.session, report.version))

    def respond(self, query: RolloutQuery) -> RolloutResponse:
        """Return the hosts that have reported at least this version in their current session."""
        names = tuple(
            name
            for name, (session, version) in self._reports.items()
            if version >= query.version and session == self._members.get_session(name)
        )
        return RolloutResponse(query.version, names)

    def start_wait(self, version: int, deadline: float, now: float) -> list[OutgoingMessage]:
        """Query the collectors of all zones about a version until `deadline`."""
        self._waits.setdefault(version, _Wait(deadline, now)).deadline = deadline
        return self._query(version, self._waits[version], now)

    def record_response(self, response: RolloutResponse) -> None:
        """Record the response of a collector."""
        wait = self._waits.get(response.version)
        if wait is None:
            return
        for name in response.names:
            wait.confirmed[name] = self._members.get_session(name)

    def read(self, version: int) -> Rollout:
        """Return the known progress of a version that is waited for."""
        wait = self._waits.get(version)
        confirmed = {} if wait is None else wait.confirmed
        hosts = [host.name for host in self._members.list_hosts()]
        lacking = tuple(
            name for name in hosts if confirmed.get(name) != self._members.get_session(name)
        )
        return Rollout(version, len(hosts) - len(lacking), lacking)

    def tick(self, version: int | None, now: float) -> list[OutgoingMessage]:
        """Repeat the reports and queries that are due; `version` is the active one."""
        outgoing: list[OutgoingMessage] = []
        if version is not None and self._is_report_due(now):
            outgoing += self.report(version, now)
        for queried, wait in list(self._waits.items()):
            if now >= wait.deadline:
                del self._waits[queried]
            elif now >= wait.next_query_at:
                outgoing += self._query(queried, wait, now)
        return outgoing

    def _is_report_due(self, now: float) -> bool:
        if now >= self._next_report_at:
            return True
        if now < self._next_check_at:
            return False
        self._next_check_at = now + 1.0
        self._forget_removed_hosts()
        return self._find_collectors(self._members.me.locality.zone) != self._collectors

    def _forget_removed_hosts(self) -> None:
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if self._members.find_host(name) is not None
        }

    def _query(self, version: int, wait: _Wait, now: float) -> list[OutgoingMessage]:
        wait.next_query_at = now + self._settings.rollout_ask_interval_s
        query = RolloutQuery(version)
        self.record_response(self.respond(query))
        lacking = set(self.read(version).lacking)
        zones = {host.locality.zone for host in self._members.list_hosts() if host.name in lacking}
        names = [name for zone in sorted(zones) for name in self._find_collectors(zone)]
        return self._make_messages(names, query)

    def _find_collectors(self, zone: str) -> tuple[str, ...]:
        hosts = choose_collectors(
            self._members.list_hosts(), zone, count=self._settings.collectors_per_zone
        )
        return tuple(host.name for host in hosts)

    def _make_messages(
        self, names: Iterable[str], message: ActiveVersion | RolloutQuery
    ) -> list[OutgoingMessage]:
        me = self._members.me.name
        return [OutgoingMessage(name, message) for name in names if name != me]
