"""Changes that operators and the move controller apply to a snapshot."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

import msgspec

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
    VersionShare,
)
from corianderwall.model.validation import require_valid

Named = TypeVar("Named", Service, Route, Subscriber)


class PutService(msgspec.Struct, frozen=True, tag="put_service"):
    """Creates a service with its first version, or replaces its versions and split."""

    service: Service


class DeleteService(msgspec.Struct, frozen=True, tag="delete_service"):
    """Deletes a service that no route refers to."""

    name: str


class AddVersion(msgspec.Struct, frozen=True, tag="add_version"):
    """Adds a version that receives no calls yet."""

    service: str
    version: str


class RemoveVersion(msgspec.Struct, frozen=True, tag="remove_version"):
    """Removes a version that receives no calls."""

    service: str
    version: str


class PutRoute(msgspec.Struct, frozen=True, tag="put_route"):
    """Creates or replaces a route."""

    route: Route


class DeleteRoute(msgspec.Struct, frozen=True, tag="delete_route"):
    """Deletes a route."""

    name: str


class PutSubscriber(msgspec.Struct, frozen=True, tag="put_subscriber"):
    """Creates or replaces a subscriber."""

    subscriber: Subscriber


class DeleteSubscriber(msgspec.Struct, frozen=True, tag="delete_subscriber"):
    """Deletes a subscriber."""

    name: str


class StartMove(msgspec.Struct, frozen=True, tag="start_move"):
    """Starts a move; the service must not have a running move."""

    move_id: str
    service: str
    to_version: str
    started_unix_ms: int
    deadline_unix_ms: int
    policy: MovePolicy


class AdvanceMove(msgspec.Struct, frozen=True, tag="advance_move"):
    """Raises the share of a running move.

    `step` must be the step after the current one, and `fencing` must not be older than the
    move's token.
    """

    move_id: str
    step: int
    share_permille: int
    fencing: int
    unix_ms: int = 0


class EndMove(msgspec.Struct, frozen=True, tag="end_move"):
    """Ends a running move as completed or rolled back; an ended move never changes again."""

    move_id: str
    state: MoveState
    cause: str
    evidence: str
    ended_unix_ms: int
    fencing: int


Change = (
    PutService
    | DeleteService
    | AddVersion
    | RemoveVersion
    | PutRoute
    | DeleteRoute
    | PutSubscriber
    | DeleteSubscriber
    | StartMove
    | AdvanceMove
    | EndMove
)


@dataclass(frozen=True, slots=True)
class Operation:
    """A change with the identifier by which its outcome can be queried later."""

    operation_id: str
    actor: str
    change: Change


def apply_change(snapshot: Snapshot, change: Change) -> Snapshot:
    """Return the next version of `snapshot` with `change` applied, or raise an error."""
    changed = _APPLIERS[type(change)](snapshot, change)
    result = replace(changed, version=snapshot.version + 1)
    require_valid(result)
    return result


def find_named(items: tuple[Named, ...], name: str, kind: str) -> Named:
    """Return the item with this name, or raise `NOT_FOUND`."""
    for item in items:
        if item.name == name:
            return item
    raise CorianderwallError(ErrorCode.NOT_FOUND, f"there is no {kind} {name!r}")


def find_move(snapshot: Snapshot, move_id: str) -> Move:
    """Return the move with this id, or raise `NOT_FOUND`."""
    for move in snapshot.moves:
        if move.id == move_id:
            return move
    raise CorianderwallError(ErrorCode.NOT_FOUND, f"there is no move {move_id!r}")


def find_running_move(snapshot: Snapshot, service: str) -> Move | None:
    """Return the service's running move, if it has one."""
    for move in snapshot.moves:
        if move.service == service and move.state is MoveState.RUNNING:
            return move
    return None


def _put(items: tuple[Named, ...], item: Named) -> tuple[Named, ...]:
    merged = {other.name: other for other in items} | {item.name: item}
    return tuple(merged[name] for name in sorted(merged))


def _delete(items: tuple[Named, ...], name: str, kind: str) -> tuple[Named, ...]:
    find_named(items, name, kind)
    return tuple(item for item in items if item.name != name)


def _require_no_move(snapshot: Snapshot, service: str) -> None:
    move = find_running_move(snapshot, service)
    if move is not None:
        raise CorianderwallError(
            ErrorCode.MOVE_IN_PROGRESS, f"service {service!r} has the running move {move.id!r}"
        )


def _put_service(snapshot: Snapshot, change: PutService) -> Snapshot:
    _require_no_move(snapshot, change.service.name)
    return replace(snapshot, services=_put(snapshot.services, change.service))


def _delete_service(snapshot: Snapshot, change: DeleteService) -> Snapshot:
    _require_no_move(snapshot, change.name)
    users = [route.name for route in snapshot.routes if route.service == change.name]
    if users:
        raise CorianderwallError(
            ErrorCode.STILL_REFERENCED, f"service {change.name!r} is used by routes {users}"
        )
    return replace(
        snapshot,
        services=_delete(snapshot.services, change.name, "service"),
        moves=tuple(move for move in snapshot.moves if move.service != change.name),
    )


def _add_version(snapshot: Snapshot, change: AddVersion) -> Snapshot:
    service = find_named(snapshot.services, change.service, "service")
    if change.version in service.versions:
        raise CorianderwallError(
            ErrorCode.ALREADY_EXISTS, f"{change.service!r} already has version {change.version!r}"
        )
    versions = tuple(sorted([*service.versions, change.version]))
    return replace(snapshot, services=_put(snapshot.services, replace(service, versions=versions)))


def _remove_version(snapshot: Snapshot, change: RemoveVersion) -> Snapshot:
    _require_no_move(snapshot, change.service)
    service = find_named(snapshot.services, change.service, "service")
    if change.version not in service.versions:
        raise CorianderwallError(
            ErrorCode.NOT_FOUND, f"{change.service!r} has no version {change.version!r}"
        )
    if any(share.version == change.version for share in service.split):
        raise CorianderwallError(
            ErrorCode.STILL_REFERENCED, f"version {change.version!r} still receives calls"
        )
    versions = tuple(version for version in service.versions if version != change.version)
    return replace(snapshot, services=_put(snapshot.services, replace(service, versions=versions)))


def _put_route(snapshot: Snapshot, change: PutRoute) -> Snapshot:
    return replace(snapshot, routes=_put(snapshot.routes, change.route))


def _delete_route(snapshot: Snapshot, change: DeleteRoute) -> Snapshot:
    return replace(snapshot, routes=_delete(snapshot.routes, change.name, "route"))


def _put_subscriber(snapshot: Snapshot, change: PutSubscriber) -> Snapshot:
    return replace(snapshot, subscribers=_put(snapshot.subscribers, change.subscriber))


def _delete_subscriber(snapshot: Snapshot, change: DeleteSubscriber) -> Snapshot:
    return replace(snapshot, subscribers=_delete(snapshot.subscribers, change.name, "subscriber"))


def _start_move(snapshot: Snapshot, change: StartMove) -> Snapshot:
    _require_no_move(snapshot, change.service)
    if any(move.id == change.move_id for move in snapshot.moves):
        raise CorianderwallError(
            ErrorCode.ALREADY_EXISTS, f"move {change.move_id!r} already exists"
        )
    service = find_named(snapshot.services, change.service, "service")
    if len(service.split) != 1 or service.split[0].version == change.to_version:
        raise CorianderwallError(
            ErrorCode.INVALID_ARGUMENT,
            f"service {service.name!r} must send all calls to one other version to start a move",
        )
    move = Move(
        id=change.move_id,
        service=change.service,
        from_version=service.split[0].version,
        to_version=change.to_version,
        started_unix_ms=change.started_unix_ms,
        deadline_unix_ms=change.deadline_unix_ms,
        policy=change.policy,
        stepped_unix_ms=change.started_unix_ms,
    )
    # The snapshot keeps only the newest move of each service; the audit trail has all of them.
    others = tuple(other for other in snapshot.moves if other.service != change.service)
    return replace(snapshot, moves=_put_move(others, move))


def _put_move(moves: tuple[Move, ...], move: Move) -> tuple[Move, ...]:
    merged = {other.id: other for other in moves} | {move.id: move}
    return tuple(merged[move_id] for move_id in sorted(merged))


def _require_running(snapshot: Snapshot, move_id: str, fencing: int) -> Move:
    move = find_move(snapshot, move_id)
    if move.state is not MoveState.RUNNING:
        raise CorianderwallError(
            ErrorCode.STALE_VERSION, f"move {move_id!r} has already ended as {move.state.value}"
        )
    if fencing < move.fencing:
        raise CorianderwallError(
            ErrorCode.LEASE_LOST, f"move {move_id!r} is controlled under a newer lease"
        )
    return move


def _advance_move(snapshot: Snapshot, change: AdvanceMove) -> Snapshot:
    move = _require_running(snapshot, change.move_id, change.fencing)
    if change.step != move.step + 1:
        raise CorianderwallError(
            ErrorCode.STALE_VERSION,
            f"move {move.id!r} is at step {move.step}; the change is not its next step",
        )
    if change.share_permille < move.share_permille:
        raise CorianderwallError(
            ErrorCode.INVALID_ARGUMENT, f"the share of running move {move.id!r} cannot decrease"
        )
    advanced = replace(
        move,
        step=change.step,
        share_permille=change.share_permille,
        fencing=change.fencing,
        stepped_unix_ms=max(move.stepped_unix_ms, change.unix_ms),
    )
    return _store_move(snapshot, advanced)


def _end_move(snapshot: Snapshot, change: EndMove) -> Snapshot:
    move = _require_running(snapshot, change.move_id, change.fencing)
    if change.state is MoveState.RUNNING:
        raise CorianderwallError(
            ErrorCode.INVALID_ARGUMENT, f"move {move.id!r} cannot end in the state running"
        )
    ended = replace(
        move,
        state=change.state,
        step=move.step + 1,
        share_permille=PERMILLE if change.state is MoveState.COMPLETED else 0,
        fencing=change.fencing,
        ended_unix_ms=change.ended_unix_ms,
        cause=change.cause,
        evidence=change.evidence,
    )
    return _store_move(snapshot, ended)


def _store_move(snapshot: Snapshot, move: Move) -> Snapshot:
    service = find_named(snapshot.services, move.service, "service")
    shares = (
        VersionShare(version=move.from_version, permille=PERMILLE - move.share_permille),
        VersionShare(version=move.to_version, permille=move.share_permille),
    )
    split = tuple(share for share in shares if share.permille > 0)
    return replace(
        snapshot,
        services=_put(snapshot.services, replace(service, split=split)),
        moves=_put_move(snapshot.moves, move),
    )


_APPLIERS: dict[type, Callable[[Snapshot, Any], Snapshot]] = {
    PutService: _put_service,
    DeleteService: _delete_service,
    AddVersion: _add_version,
    RemoveVersion: _remove_version,
    PutRoute: _put_route,
    DeleteRoute: _delete_route,
    PutSubscriber: _put_subscriber,
    DeleteSubscriber: _delete_subscriber,
    StartMove: _start_move,
    AdvanceMove: _advance_move,
    EndMove: _end_move,
}
