"""Differences between two snapshots, with the digests of both."""

from dataclasses import dataclass, replace
from typing import TypeVar

from corianderwall.model.codec import compute_digest
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Move, Route, Service, Snapshot, Subscriber, Team

Item = TypeVar("Item", Service, Route, Subscriber, Move, Team)


@dataclass(frozen=True, slots=True, kw_only=True)
class Removal:
    """The names of the resources that are no longer in the newer snapshot."""

    services: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()
    subscribers: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()
    teams: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """The difference between the snapshots with `base_digest` and `result_digest`.

    `changed` has the newer version and only those resources that are new or have changed.
    """

    base_version: int
    base_digest: str
    result_digest: str
    changed: Snapshot
    removed: Removal


def compute_delta(base: Snapshot, result: Snapshot) -> Delta:
    """Return the delta that turns `base` into `result`."""
    return Delta(
        base_version=base.version,
        base_digest=compute_digest(base),
        result_digest=compute_digest(result),
        changed=Snapshot(
            version=result.version,
            services=_find_changed(base.services, result.services),
            routes=_find_changed(base.routes, result.routes),
            subscribers=_find_changed(base.subscribers, result.subscribers),
            moves=_find_changed(base.moves, result.moves),
            limits=result.limits,
            teams=_find_changed(base.teams, result.teams),
        ),
        removed=Removal(
            services=_find_removed(base.services, result.services),
            routes=_find_removed(base.routes, result.routes),
            subscribers=_find_removed(base.subscribers, result.subscribers),
            moves=_find_removed(base.moves, result.moves),
            teams=_find_removed(base.teams, result.teams),
        ),
    )


def apply_delta(base: Snapshot, delta: Delta) -> Snapshot:
    """Return `base` with `delta` applied; raise `DAMAGED_UPDATE` if a digest does not match."""
    if compute_digest(base) != delta.base_digest:
        raise CorianderwallError(
            ErrorCode.DAMAGED_UPDATE, f"the delta does not apply to version {base.version}"
        )
    changed, removed = delta.changed, delta.removed
    result = replace(
        base,
        version=changed.version,
        services=_merge(base.services, changed.services, removed.services),
        routes=_merge(base.routes, changed.routes, removed.routes),
        subscribers=_merge(base.subscribers, changed.subscribers, removed.subscribers),
        moves=_merge(base.moves, changed.moves, removed.moves),
        limits=changed.limits,
        teams=_merge(base.teams, changed.teams, removed.teams),
    )
    if compute_digest(result) != delta.result_digest:
        raise CorianderwallError(
            ErrorCode.DAMAGED_UPDATE, f"the delta does not produce version {changed.version}"
        )
    return result


def get_key(item: Service | Route | Subscriber | Move | Team) -> str:
    """Return the name by which `item` is known within its collection."""
    return item.id if isinstance(item, Move) else item.name


def _find_changed(base: tuple[Item, ...], result: tuple[Item, ...]) -> tuple[Item, ...]:
    known = set(base)
    return tuple(item for item in result if item not in known)


def _find_removed(base: tuple[Item, ...], result: tuple[Item, ...]) -> tuple[str, ...]:
    kept = {get_key(item) for item in result}
    return tuple(get_key(item) for item in base if get_key(item) not in kept)


def _merge(
    base: tuple[Item, ...], changed: tuple[Item, ...], removed: tuple[str, ...]
) -> tuple[Item, ...]:
    items = {get_key(item): item for item in base}
    items.update({get_key(item): item for item in changed})
    for name in removed:
        items.pop(name, None)
    return tuple(items[name] for name in sorted(items))
