"""Checks of a configuration before it is sent: findings, and differences from another version."""

import dataclasses
import enum
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from corianderwall.model.delta import compute_delta, get_key
from corianderwall.model.resource import Route, Service, Snapshot, Team, list_backends
from corianderwall.model.validation import find_problems, list_targets

COLLECTIONS = ("services", "routes", "subscribers", "moves", "teams")
KEYS_FIELD = "key_digests"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class FindingKind(enum.StrEnum):
    """The kinds of findings; a note calls for no correction."""

    ERROR = "error"
    UNUSED_ENTRY = "never used"
    CONTRADICTION = "contradiction"
    NOTE = "note"


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding; its sentence never holds a key or its digest."""

    kind: FindingKind
    sentence: str


@dataclass(frozen=True, slots=True)
class FieldChange:
    """The values of a field as JSON, or for keys their number."""

    field: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class Difference:
    """One resource that differs; `change` is added, changed or removed."""

    change: str
    collection: str
    name: str
    fields: tuple[FieldChange, ...] = ()


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The result of a check; `differences` is None if there was nothing to compare with."""

    version: int
    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] | None

    @property
    def needs_correction(self) -> bool:
        """Return whether there is a finding other than a note."""
        return any(finding.kind is not FindingKind.NOTE for finding in self.findings)


def check_snapshot(
    snapshot: Snapshot,
    in_force: Snapshot | None,
    *,
    versioned: bool,
    endpoints: Mapping[str, int],
) -> CheckReport:
    """Check `snapshot`, and compare it with the version in force if that is given.

    `versioned` is that of `find_problems`. `endpoints` has the number of endpoints by service.
    """
    findings = [
        Finding(FindingKind.ERROR, problem.sentence)
        for problem in find_problems(snapshot, versioned=versioned)
    ]
    differences = None
    if in_force is not None:
        differences = tuple(find_differences(in_force, snapshot))
        if differences and snapshot.version <= in_force.version:
            sentence = f"version {snapshot.version} is not newer than {in_force.version} in force"
            findings.append(Finding(FindingKind.ERROR, f"{sentence}; nodes ignore it"))
    for kind, sentences in (
        (FindingKind.UNUSED_ENTRY, _find_unmatched_routes(snapshot.routes, versioned)),
        (FindingKind.UNUSED_ENTRY, _find_unused_backends(snapshot.routes)),
        (FindingKind.UNUSED_ENTRY, _find_unusable_keys(snapshot.teams)),
        (FindingKind.CONTRADICTION, _find_contradictions(snapshot)),
        (FindingKind.CONTRADICTION, _find_excessive_quotas(snapshot, versioned, endpoints)),
        (FindingKind.NOTE, _find_unused_services(snapshot, versioned)),
    ):
        findings.extend(Finding(kind, sentence) for sentence in sentences)
    return CheckReport(snapshot.version, tuple(findings), differences)


def find_differences(older: Snapshot, newer: Snapshot) -> Iterator[Difference]:
    """Yield the resources that differ, with their changed fields."""
    delta = compute_delta(older, newer)
    for collection in COLLECTIONS:
        former = {get_key(item): item for item in getattr(older, collection)}
        for item in getattr(delta.changed, collection):
            name = get_key(item)
            if name in former:
                fields = tuple(_compare_fields(former[name], item))
                yield Difference("changed", collection, name, fields)
            else:
                yield Difference("added", collection, name)
        for name in getattr(delta.removed, collection):
            yield Difference("removed", collection, name)
    limits = tuple(_compare_fields(older.limits, newer.limits))
    if limits:
        yield Difference("changed", "limits", "", limits)


def _compare_fields(before: Any, after: Any) -> Iterator[FieldChange]:
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.name == KEYS_FIELD:
            added = len(set(new) - set(old))
            yield FieldChange("keys", str(len(old)), f"{len(new)}, {added} of them new")
        else:
            old_json, new_json = msgspec.json.encode(old), msgspec.json.encode(new)
            yield FieldChange(field.name, old_json.decode(), new_json.decode())


def _find_unmatched_routes(routes: tuple[Route, ...], versioned: bool) -> Iterator[str]:
    groups: dict[tuple[str, str], list[Route]] = {}
    for route in routes:
        if not versioned and not route.host:
            yield f"route {route.name!r} never matches: it has no host"
        if not versioned and not route.path_prefix.endswith("/"):
            yield f"route {route.name!r} never matches: its path prefix does not end with a slash"
        prefix = route.path_prefix.rstrip("/") if versioned else route.path_prefix
        groups.setdefault((route.host.lower(), prefix), []).append(route)
    for group in groups.values():
        for index, route in enumerate(group):
            # Of equal routes versioned nodes use the first one, and host nodes the last one.
            others = group[:index] if versioned else group[:index:-1]
            for other in others:
                if not versioned or _covers(other, route):
                    sentence = f"route {other.name!r} has the same host and prefix"
                    yield f"route {route.name!r} never matches: {sentence}"
                    break


def _covers(other: Route, route: Route) -> bool:
    """Return whether `other` takes all calls of `route`; one that names methods ranks first."""
    methods = {method.upper() for method in route.methods}
    return (
        set(other.headers) == set(route.headers)
        and bool(other.methods) == bool(methods)
        and {method.upper() for method in other.methods} >= methods
    )


def _find_unused_backends(routes: tuple[Route, ...]) -> Iterator[str]:
    for route in routes:
        backends = list_backends(route)
        if sum(backend.weight for backend in backends) <= 0:
            first = backends[0].service
            yield f"the weights of route {route.name!r} are 0, so all calls go to {first!r}"
            continue
        for backend in backends:
            if backend.weight <= 0:
                yield f"route {route.name!r} sends nothing to {backend.service!r}: its weight is 0"


def _find_unusable_keys(teams: tuple[Team, ...]) -> Iterator[str]:
    holders: dict[str, str] = {}
    shared: set[tuple[str, str]] = set()
    for team in teams:
        if not team.key_digests:
            yield f"team {team.name!r} has no keys"
        if not all(DIGEST_PATTERN.fullmatch(digest) for digest in team.key_digests):
            yield f"team {team.name!r} has a key that is not a SHA-256 digest in hexadecimal"
        for digest in team.key_digests:
            holder = holders.setdefault(digest, team.name)
            if holder != team.name and (holder, team.name) not in shared:
                shared.add((holder, team.name))
                yield f"teams {holder!r} and {team.name!r} have the same key"


def _find_contradictions(snapshot: Snapshot) -> Iterator[str]:
    for route in snapshot.routes:
        if route.timeout_ms < route.objective_ms:
            limits = f"{route.timeout_ms} ms is shorter than its objective, {route.objective_ms} ms"
            yield f"the timeout of route {route.name!r}, {limits}"
    for service in snapshot.services:
        if service.warmup_per_s > 0 and service.warmup_s <= 0:
            yield f"service {service.name!r} has a warm-up rate without a warm-up time"
    for team in snapshot.teams:
        if team.burst > 0 and team.rate_per_s <= 0:
            yield f"team {team.name!r} has a burst without a rate, so it has no quota"


def _find_excessive_quotas(
    snapshot: Snapshot, versioned: bool, endpoints: Mapping[str, int]
) -> Iterator[str]:
    """Yield quotas for which the connections do not suffice if calls last as long as the objective.

    A team may use every route. Nothing is known unless each service has a limit of connections and
    a number of endpoints.
    """
    used = _list_used_services(snapshot, versioned)
    if not used or not all(each.max_connections and each.name in endpoints for each in used):
        return
    held = sum(service.max_connections * endpoints[service.name] for service in used)
    objective_ms = min(route.objective_ms for route in snapshot.routes)
    for team in snapshot.teams:
        needed = team.rate_per_s * objective_ms / 1000
        if needed > held:
            yield (
                f"the quota of team {team.name!r}, {team.rate_per_s:g} a second, needs"
                f" {needed:.0f} connections at the shortest objective, {objective_ms} ms;"
                f" all services together hold {held}"
            )


def _find_unused_services(snapshot: Snapshot, versioned: bool) -> Iterator[str]:
    used = _list_used_services(snapshot, versioned)
    for service in snapshot.services:
        if service not in used:
            yield f"no route uses service {service.name!r}"


def _list_used_services(snapshot: Snapshot, versioned: bool) -> list[Service]:
    names = {name for route in snapshot.routes for name in list_targets(route, versioned=versioned)}
    return [service for service in snapshot.services if service.name in names]
