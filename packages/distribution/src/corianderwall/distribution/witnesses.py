"""The versions that hosts hold, and the newest version that enough witnesses hold.

A witness is another host of the region that has acknowledged that it holds a version.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from corianderwall.distribution.members import Members
from corianderwall.distribution.messages import NO_VERSION
from corianderwall.distribution.placement import choose_across_zones
from corianderwall.distribution.settings import DistributionSettings

if TYPE_CHECKING:
    from corianderwall.model.endpoint import Host


class Holders:
    """Keeps the highest version that each host has acknowledged in its newest session."""

    def __init__(self) -> None:
        self._acknowledged: dict[str, tuple[int, int]] = {}
        self.highest_version = NO_VERSION
        """The highest version that any host has ever acknowledged."""

    def record_acknowledgement(self, name: str, session: int, version: int) -> None:
        """Record an acknowledgement unless it is from an earlier session or of a lower version."""
        self.highest_version = max(self.highest_version, version)
        self._acknowledged[name] = max(
            (session, version), self._acknowledged.get(name, (0, NO_VERSION))
        )

    def get_version(self, name: str, *, session: int) -> int:
        """Return the version that a host has acknowledged in this session, else `NO_VERSION`."""
        known = self._acknowledged.get(name)
        if known is None or known[0] < session:
            return NO_VERSION
        return known[1]

    def iterate_names(self) -> Iterable[str]:
        """Iterate over the hosts that have acknowledged a version."""
        return self._acknowledged.keys()


class WitnessRule:
    """Finds the highest version that would survive the loss of this host.

    A version counts once two other hosts of this region hold it, in distinct zones if the other
    hosts are in more than one. In a smaller region all other hosts are required.
    """

    def __init__(self, members: Members, holders: Holders, settings: DistributionSettings) -> None:
        self._members = members
        self._holders = holders
        self._settings = settings
        self._view_digest: int | None = None
        self._others: list[Host] = []

    def find_witnessed_version(self, held_version: int, *, needs_distinct_zones: bool) -> int:
        """Return the highest version with enough witnesses, at most `held_version`.

        Unless `needs_distinct_zones`, witnesses in a single zone are enough.
        """
        self._refresh_others()
        required = min(self._settings.required_witnesses, len(self._others))
        if required == 0:
            return held_version
        versions = self._list_versions(needs_distinct_zones=needs_distinct_zones)
        if len(versions) < required:
            return NO_VERSION
        return min(held_version, versions[required - 1])

    def is_covered_by(self, names: Iterable[str]) -> bool:
        """Return whether these hosts are enough to provide all required witnesses."""
        self._refresh_others()
        known = set(names)
        eligible = [host for host in self._others if host.name in known]
        zones = {host.locality.zone for host in self._others}
        eligible_zones = {host.locality.zone for host in eligible}
        required = min(self._settings.required_witnesses, len(self._others))
        return len(eligible) >= required and len(eligible_zones) >= min(required, len(zones))

    def choose_candidates(self, attempt: int) -> list[str]:
        """Return the hosts to ask for acknowledgements, different ones for each attempt."""
        self._refresh_others()
        salt = f"witness/{self._members.me.name}/{attempt}"
        count = self._settings.required_witnesses + 1
        return [host.name for host in choose_across_zones(self._others, count, salt=salt)]

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

    def _list_versions(self, *, needs_distinct_zones: bool) -> list[int]:
        """Return the versions of the other hosts in descending order.

        If the witnesses must be in distinct zones, there is only the highest of each zone.
        """
        zones = {host.locality.zone for host in self._others}
        is_by_zone = needs_distinct_zones and len(zones) > 1
        best: dict[str, int] = {}
        for host in self._others:
            version = self._get_version(host.name)
            key = host.locality.zone if is_by_zone else host.name
            best[key] = max(version, best.get(key, NO_VERSION))
        return sorted(best.values(), reverse=True)

    def _get_version(self, name: str) -> int:
        return self._holders.get_version(name, session=self._members.get_session(name))
