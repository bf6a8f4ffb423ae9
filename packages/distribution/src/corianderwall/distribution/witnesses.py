"""Which hosts hold which version, and which version enough of them hold."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from corianderwall.distribution.members import Members
from corianderwall.distribution.messages import NO_VERSION
from corianderwall.distribution.placement import choose_spread
from corianderwall.distribution.settings import DistributionSettings

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Host


class Holders:
    """The highest version that each host said it holds, within its newest session."""

    def __init__(self) -> None:
        self._acknowledged: dict[str, tuple[int, int]] = {}
        self.highest = NO_VERSION
        """The highest version that any host ever said it holds."""

    def note(self, name: str, session: int, version: int) -> None:
        """Record an acknowledgement; those of an earlier session or a lower version are old."""
        self.highest = max(self.highest, version)
        self._acknowledged[name] = max(
            (session, version), self._acknowledged.get(name, (0, NO_VERSION))
        )

    def get_version(self, name: str, *, session: int) -> int:
        """Return what a host holds, unless its acknowledgement is older than its session."""
        known = self._acknowledged.get(name)
        if known is None or known[0] < session:
            return NO_VERSION
        return known[1]

    def iterate_names(self) -> Iterable[str]:
        """Iterate over the hosts that have acknowledged a version."""
        return self._acknowledged.keys()


class WitnessRule:
    """Finds the highest version that would survive the loss of this host.

    A version counts once two other hosts of this region hold it, in distinct zones where the
    region has such; fewer hosts when the region has fewer.
    """

    def __init__(self, members: Members, holders: Holders, settings: DistributionSettings) -> None:
        self._members = members
        self._holders = holders
        self._settings = settings
        self._view_digest: int | None = None
        self._others: list[Host] = []

    def find_witnessed(self, held_version: int, *, is_patient: bool) -> int:
        """Return the highest witnessed version, at most `held_version`.

        An impatient node takes two hosts of one zone for enough.
        """
        self._refresh_others()
        required = min(self._settings.required_witnesses, len(self._others))
        if required == 0:
            return held_version
        versions = self._list_versions(is_patient=is_patient)
        if len(versions) < required:
            return NO_VERSION
        return min(held_version, versions[required - 1])

    def is_covered_by(self, names: Iterable[str]) -> bool:
        """Return whether these hosts can be all the witnesses that are needed."""
        self._refresh_others()
        known = set(names)
        able = [host for host in self._others if host.name in known]
        zones = {host.locality.zone for host in self._others}
        able_zones = {host.locality.zone for host in able}
        required = min(self._settings.required_witnesses, len(self._others))
        return len(able) >= required and len(able_zones) >= min(required, len(zones))

    def choose_helpers(self, attempt: int) -> list[str]:
        """Return hosts to ask for acknowledgements, others with each attempt."""
        self._refresh_others()
        salt = f"witness/{self._members.me.name}/{attempt}"
        count = self._settings.required_witnesses + 1
        return [host.name for host in choose_spread(self._others, count, salt=salt)]

    def _refresh_others(self) -> None:
        if self._members.view_digest == self._view_digest:
            return
        self._view_digest = self._members.view_digest
        me = self._members.me
        self._others = [
            host
            for host in self._members.list_hosts()
            if host.locality.region == me.locality.region and host.name != me.name
        ]

    def _list_versions(self, *, is_patient: bool) -> list[int]:
        """Return held versions, the highest first, one for each zone that must be distinct."""
        zones = {host.locality.zone for host in self._others}
        is_spread = is_patient and len(zones) > 1
        best: dict[str, int] = {}
        for host in self._others:
            version = self._get_version(host.name)
            key = host.locality.zone if is_spread else host.name
            best[key] = max(version, best.get(key, NO_VERSION))
        return sorted(best.values(), reverse=True)

    def _get_version(self, name: str) -> int:
        return self._holders.get_version(name, session=self._members.get_session(name))
