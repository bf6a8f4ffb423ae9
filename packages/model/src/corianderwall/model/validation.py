"""Checks that a snapshot is consistent, both when it is accepted and when it is applied."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import (
    PERMILLE,
    Move,
    MovePolicy,
    MoveState,
    Route,
    Service,
    Snapshot,
    Subscriber,
    list_backends,
)

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
MAX_TIMEOUT_MS = 3_600_000
MAX_SUBSCRIBER_SHARE = 1_000_000


@dataclass(frozen=True, slots=True)
class Problem:
    """One reason why a snapshot is invalid."""

    code: ErrorCode
    sentence: str


def find_problems(snapshot: Snapshot, *, versioned: bool = True) -> list[Problem]:
    """Return all problems of `snapshot`, an empty list if it is valid.

    Host nodes are not `versioned`: they split calls among the backends of a route, not among the
    versions of a service, and do not restrict the syntax of names.
    """
    return list(_check_snapshot(snapshot, versioned))


def require_valid(snapshot: Snapshot) -> None:
    """Raise an error with the code of the first problem and the sentences of all."""
    problems = find_problems(snapshot)
    if problems:
        sentence = "; ".join(problem.sentence for problem in problems)
        raise CorianderwallError(problems[0].code, sentence)


def _check_snapshot(snapshot: Snapshot, versioned: bool) -> Iterator[Problem]:
    check_names = _check_names if versioned else _check_order
    yield from check_names("service", [service.name for service in snapshot.services])
    yield from check_names("route", [route.name for route in snapshot.routes])
    yield from check_names("subscriber", [each.name for each in snapshot.subscribers])
    yield from check_names("move", [move.id for move in snapshot.moves])
    # Deltas tell teams apart by name.
    yield from _check_order("team", [team.name for team in snapshot.teams])
    services = {service.name: service for service in snapshot.services}
    for service in snapshot.services if versioned else ():
        yield from _check_service(service)
    for route in snapshot.routes:
        yield from _check_route(route, services, versioned)
    for subscriber in snapshot.subscribers:
        yield from _check_subscriber(subscriber)
    for move in snapshot.moves:
        yield from _check_move(move, services)


def _invalid(sentence: str) -> Problem:
    return Problem(ErrorCode.INVALID_ARGUMENT, sentence)


def _dangling(sentence: str) -> Problem:
    return Problem(ErrorCode.DANGLING_REFERENCE, sentence)


def _check_names(kind: str, names: list[str]) -> Iterator[Problem]:
    yield from _check_order(kind, names)
    yield from _check_name_syntax(kind, names)


def _check_order(kind: str, names: list[str]) -> Iterator[Problem]:
    if names != sorted(set(names)):
        yield _invalid(f"{kind} names are not unique and sorted")


def _check_name_syntax(kind: str, names: Iterable[str]) -> Iterator[Problem]:
    for name in names:
        if NAME_PATTERN.fullmatch(name) is None:
            yield _invalid(f"{kind} name {name!r} does not match {NAME_PATTERN.pattern}")


def _check_service(service: Service) -> Iterator[Problem]:
    yield from _check_names(f"version of {service.name!r}", list(service.versions))
    for share in service.split:
        if share.version not in service.versions:
            yield _dangling(f"service {service.name!r} splits to unknown version {share.version!r}")
        if share.permille <= 0:
            yield _invalid(f"service {service.name!r} has a non-positive share")
    if len({share.version for share in service.split}) != len(service.split):
        yield _invalid(f"the split of service {service.name!r} names a version twice")
    if sum(share.permille for share in service.split) != PERMILLE:
        yield _invalid(f"the split of service {service.name!r} does not sum to {PERMILLE}")


def list_targets(route: Route, *, versioned: bool) -> list[str]:
    """Return the names of the services that get the calls of `route`."""
    if versioned:
        return [route.service]
    return [backend.service for backend in list_backends(route)]


def _check_route(route: Route, services: dict[str, Service], versioned: bool) -> Iterator[Problem]:
    for name in list_targets(route, versioned=versioned):
        service = services.get(name)
        if service is None:
            yield _dangling(f"route {route.name!r} points at no service {name!r}")
        elif route.pinned_version and route.pinned_version not in service.versions:
            yield _dangling(f"route {route.name!r} points at no version {route.pinned_version!r}")
    if not route.path_prefix.startswith("/"):
        yield _invalid(f"route {route.name!r} has a path prefix that does not start with /")
    if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS:
        yield _invalid(f"route {route.name!r} has a timeout out of range")
    for match in route.headers:
        if match.name != match.name.lower():
            yield _invalid(f"route {route.name!r} matches a header name that is not in lower case")


def _check_subscriber(subscriber: Subscriber) -> Iterator[Problem]:
    if not 0 < subscriber.share <= MAX_SUBSCRIBER_SHARE:
        yield _invalid(f"subscriber {subscriber.name!r} has a share out of range")


def _check_move(move: Move, services: dict[str, Service]) -> Iterator[Problem]:
    service = services.get(move.service)
    if service is None:
        yield _dangling(f"move {move.id!r} points at no service {move.service!r}")
        return
    if move.state is MoveState.RUNNING:
        for version in (move.from_version, move.to_version):
            if version not in service.versions:
                yield _dangling(f"move {move.id!r} points at no version {version!r}")
    if move.deadline_unix_ms <= move.started_unix_ms:
        yield _invalid(f"move {move.id!r} has its deadline before its start")
    if not 0 <= move.share_permille <= PERMILLE:
        yield _invalid(f"move {move.id!r} has a share out of range")
    yield from _check_policy(move.id, move.policy)


def _check_policy(move_id: str, policy: MovePolicy) -> Iterator[Problem]:
    steps = policy.steps_permille
    if not steps or list(steps) != sorted(set(steps)) or steps[0] <= 0 or steps[-1] != PERMILLE:
        yield _invalid(f"move {move_id!r} has steps that do not increase to {PERMILLE}")
    if policy.min_calls_per_step <= 0:
        yield _invalid(f"move {move_id!r} requires no calls in a step")
    if not 0 <= policy.tolerated_error_permille <= PERMILLE:
        yield _invalid(f"move {move_id!r} has a tolerated error rate out of range")
    if policy.tolerated_slowdown_percent < 0:
        yield _invalid(f"move {move_id!r} tolerates a negative slowdown")
    if not 0 <= policy.caution <= 1:
        yield _invalid(f"move {move_id!r} has a caution out of range")
