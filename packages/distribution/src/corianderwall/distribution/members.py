"""The part of the membership that the distribution uses."""

from typing import Protocol

from corianderwall.membership.status import Status
from corianderwall.model.endpoint import Host


class Members(Protocol):
    """Implemented by `corianderwall.membership.membership.Membership`."""

    @property
    def me(self) -> Host:
        """This host."""

    @property
    def neighbours(self) -> tuple[str, ...]:
        """The names of this host's neighbours on the overlay."""

    @property
    def has_joined(self) -> bool:
        """Whether a seed has responded, or there are no seeds."""

    @property
    def view_digest(self) -> int:
        """The digest of the view, equal for equal views."""

    def find_host(self, name: str) -> Host | None:
        """Return a known host."""

    def list_hosts(self) -> tuple[Host, ...]:
        """Return all hosts in view, including this one but no dead ones."""

    def get_status(self, name: str) -> Status:
        """Return the status of a host in view."""

    def get_session(self, name: str) -> int:
        """Return the number that identifies a host's process, 0 if the host is unknown."""
