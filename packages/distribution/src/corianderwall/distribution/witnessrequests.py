"""Requests for acknowledgements when the neighbours do not provide enough witnesses."""

from corianderwall.distribution.members import Members
from corianderwall.distribution.messages import NO_VERSION
from corianderwall.distribution.replica import Replica
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.distribution.witnesses import WitnessRule
from corianderwall.model.message import OutgoingMessage

REQUESTS_TO_SAME_HOSTS = 3


class WitnessRequests:
    """Requests acknowledgements of the newest version from other hosts of the region.

    The first request is sent as soon as the version is stored, if the neighbours cannot provide all
    witnesses, and further ones while too few hosts have acknowledged it in time.
    """

    def __init__(
        self,
        rule: WitnessRule,
        replica: Replica,
        members: Members,
        settings: DistributionSettings,
    ) -> None:
        self._rule = rule
        self._replica = replica
        self._members = members
        self._settings = settings
        self._next_request_at = 0.0
        self._requests_sent = 0
        self._requested_version = NO_VERSION

    def request_early(self) -> list[OutgoingMessage]:
        """Ask other hosts at once when the neighbours cannot provide all witnesses."""
        version = self._replica.history.version
        if version <= self._requested_version:
            return []
        self._requested_version = version
        self._requests_sent = 0
        if self._rule.is_covered_by(self._members.neighbours):
            return []
        return self._make_requests()

    def request_again(self, witnessed_version: int, now: float) -> list[OutgoingMessage]:
        """Ask other hosts if too few have acknowledged the newest version in time."""
        if self._replica.history.version <= witnessed_version or now < self._next_request_at:
            return []
        if now - self._replica.held_since < self._settings.witness_ask_interval_s:
            return []
        self._next_request_at = now + self._settings.witness_ask_interval_s
        return self._make_requests()

    def _make_requests(self) -> list[OutgoingMessage]:
        message = self._replica.make_held(wants_reply=True)
        # Several requests in a row go to the same hosts, since their connections are already open.
        candidates = self._rule.choose_candidates(self._requests_sent // REQUESTS_TO_SAME_HOSTS)
        self._requests_sent += 1
        return [OutgoingMessage(name, message) for name in candidates]
