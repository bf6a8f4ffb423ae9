"""The HTTP site of a node: the operators' API and the admin interface."""

from typing import TYPE_CHECKING

from twisted.web.resource import Resource

from corianderwall.node.operators import PREFIX

if TYPE_CHECKING:
    from twisted.web.resource import IResource
    from twisted.web.server import Request


class SiteRoot(Resource):
    """Routes a request to one of two resources by its path prefix."""

    def __init__(self, *, operators: "IResource", admin: "IResource") -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._operators = operators
        self._admin = admin
        self._prefix = PREFIX.encode("ascii")

    def getChild(self, path: bytes, request: "Request") -> "IResource":  # noqa: N802
        """Return the resource and restore the complete path for it."""
        chosen = self._operators if request.path.startswith(self._prefix) else self._admin
        taken = request.prepath.pop() if request.prepath else path
        request.postpath = [taken, *(request.postpath or [])]
        return chosen
