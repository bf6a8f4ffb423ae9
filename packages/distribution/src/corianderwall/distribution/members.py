"""The membership as the distribution needs it."""

from typing import Protocol

from corianderwall.membership.status import Status
from corianderwall.model.endpoint import Host


class Members(Protocol):
    """Answered by `corianderwall.membership.membership.Membership`."""

    @property
    def me(self) -> Host:
        """This host."""

    @property
    def neighbours(self) -> tuple[str, ...]:
        """The names of the hosts on the overlay next to this one."""

    @property
    def has_joined(self) -> bool:
        """Whether a seed has answered, or there was none to ask."""

    @property
    def view_digest(self) -> int:
        """Equal digests mean equal views."""

    def find_host(self, name: str) -> Host | None:
        """Return a known host."""

    def list_hosts(self) -> tuple[Host, ...]:
        """Return all hosts in view, this one too, but no dead ones."""

    def get_status(self, name: str) -> Status:
        """Return the status of a host in view."""

    def get_session(self, name: str) -> int:
        """Return the number of a host's process, 0 if unknown."""
