"""The route table of a snapshot, compiled once and matched against every call."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Route, Service, Snapshot
from corianderwall.traffic.paths import normalise_path
from corianderwall.traffic.splits import VersionSplit

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


@dataclass(frozen=True, slots=True)
class CallRequest:
    """The parts of a call that routes match; the names in `headers` are in lower case."""

    host: str
    path: str
    method: str
    headers: Mapping[str, str]
    subscriber: str = ""


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """The destination of a call; its deadline follows from `timeout_ms`, a setting of the route."""

    route: str
    service: str
    version: str
    idempotent: bool
    timeout_ms: int


class MatchReason(enum.StrEnum):
    """Why a route does or does not match a call."""

    CHOSEN = "chosen"
    SHADOWED = "shadowed by a route that comes first"
    HOST = "another host"
    PATH = "another path"
    METHOD = "another method"
    HEADER = "a header is absent or has another value"


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """Whether and why one route matches a call."""

    route: str
    reason: MatchReason


class _CompiledRoute:
    """A route in a form that is fast to match."""

    __slots__ = ("_headers", "_methods", "_split", "idempotent", "prefix", "route")

    def __init__(self, route: Route, service: Service) -> None:
        self.route = route
        self.prefix = _strip_prefix(route.path_prefix)
        self.idempotent = route.idempotent
        self._methods = frozenset(method.upper() for method in route.methods)
        self._headers = tuple((match.name, match.value) for match in route.headers)
        self._split = VersionSplit.compile(service, pinned_version=route.pinned_version)

    def find_mismatch(self, request: CallRequest) -> MatchReason | None:
        """Return why the method or the headers do not match, or None if they do."""
        if self._methods and request.method not in self._methods:
            return MatchReason.METHOD
        for name, value in self._headers:
            if request.headers.get(name) != value:
                return MatchReason.HEADER
        return None

    def choose(self, request: CallRequest, random: Random) -> RouteChoice:
        """Return the destination; its version is hashed from the sticky header or random."""
        route = self.route
        sticky = request.headers.get(route.sticky_header, "") if route.sticky_header else ""
        version = self._split.hash_version(sticky) if sticky else self._split.draw_version(random)
        idempotent = self.idempotent
        if idempotent is None:
            idempotent = request.method in IDEMPOTENT_METHODS
        return RouteChoice(route.name, route.service, version, idempotent, route.timeout_ms)


_PrefixMap = dict[str, tuple[_CompiledRoute, ...]]
_NO_ROUTES: tuple[_CompiledRoute, ...] = ()


class RouteTable:
    """The routes of one snapshot by host and path prefix.

    A route takes precedence over another if it names a host, has the longer path prefix, has more
    header matches, names methods, or comes first by name; the first difference decides.
    """

    def __init__(self, version: int, routes: tuple[_CompiledRoute, ...]) -> None:
        self.version = version
        self._routes = routes
        self._hosts: dict[str, _PrefixMap] = {}
        for compiled in routes:
            prefixes = self._hosts.setdefault(compiled.route.host.lower(), {})
            prefixes[compiled.prefix] = (*prefixes.get(compiled.prefix, ()), compiled)
        self._any_host = self._hosts.get("", {})
        self._max_depth = max((compiled.prefix.count("/") for compiled in routes), default=0)

    @classmethod
    def compile(cls, snapshot: Snapshot) -> "RouteTable":
        """Return the table of `snapshot`, or raise `DANGLING_REFERENCE`."""
        services = {service.name: service for service in snapshot.services}
        compiled = []
        for route in snapshot.routes:
            if route.service not in services:
                message = f"route {route.name!r} points at no service {route.service!r}"
                raise CorianderwallError(ErrorCode.DANGLING_REFERENCE, message)
            compiled.append(_CompiledRoute(route, services[route.service]))
        return cls(snapshot.version, tuple(sorted(compiled, key=_rank_route)))

    def match(self, request: CallRequest, random: Random) -> RouteChoice:
        """Return the destination of the call, or raise `NO_ROUTE` or `MALFORMED_REQUEST`."""
        path = normalise_path(request.path)
        found = self._find_route(_normalise_host(request.host), path, request)
        if found is None:
            message = f"no route for {request.method} {request.host}{path}"
            raise CorianderwallError(ErrorCode.NO_ROUTE, message)
        return found.choose(request, random)

    def explain(self, request: CallRequest) -> tuple[RouteMatch, ...]:
        """Return the match result of every route, in order of precedence."""
        path = normalise_path(request.path)
        host = _normalise_host(request.host)
        matches = []
        chosen = False
        for compiled in self._routes:
            reason = _find_match_reason(compiled, host, path, request)
            if reason is MatchReason.CHOSEN and chosen:
                reason = MatchReason.SHADOWED
            chosen = chosen or reason is MatchReason.CHOSEN
            matches.append(RouteMatch(compiled.route.name, reason))
        return tuple(matches)

    def _find_route(self, host: str, path: str, request: CallRequest) -> _CompiledRoute | None:
        prefixes = self._list_prefixes(path)
        host_routes = self._hosts.get(host)
        if host_routes is not None and host:
            found = _find_first(host_routes, prefixes, request)
            if found is not None:
                return found
        return _find_first(self._any_host, prefixes, request)

    def _list_prefixes(self, path: str) -> list[str]:
        segments = path.split("/", self._max_depth + 1)[: self._max_depth + 1]
        prefixes = ["/".join(segments[:end]) for end in range(len(segments), 0, -1)]
        return prefixes


def _find_first(
    routes: Mapping[str, tuple[_CompiledRoute, ...]], prefixes: list[str], request: CallRequest
) -> _CompiledRoute | None:
    for prefix in prefixes:
        for compiled in routes.get(prefix, _NO_ROUTES):
            if compiled.find_mismatch(request) is None:
                return compiled
    return None


def _find_match_reason(
    compiled: _CompiledRoute, host: str, path: str, request: CallRequest
) -> MatchReason:
    if compiled.route.host and compiled.route.host.lower() != host:
        return MatchReason.HOST
    if path != compiled.prefix and not path.startswith(compiled.prefix + "/"):
        return MatchReason.PATH
    return compiled.find_mismatch(request) or MatchReason.CHOSEN


def _rank_route(compiled: _CompiledRoute) -> tuple[bool, int, int, bool, str]:
    route = compiled.route
    depth = compiled.prefix.count("/")
    return (not route.host, -depth, -len(route.headers), not route.methods, route.name)


def _strip_prefix(prefix: str) -> str:
    """Return the prefix without trailing slashes, so that it ends at a segment boundary."""
    return prefix.rstrip("/")


def _normalise_host(host: str) -> str:
    """Return the host in lower case, without port and trailing dot."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].rstrip(".").lower()
