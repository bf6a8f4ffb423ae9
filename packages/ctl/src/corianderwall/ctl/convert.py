"""Conversion between the protobuf messages of the operators' calls and the model."""

from typing import TYPE_CHECKING

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.model.resource import (
    HeaderMatch,
    Move,
    MovePolicy,
    MoveState,
    Route,
    Service,
    Snapshot,
    Subscriber,
    VersionShare,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from corianderwall.model.audit import AuditRecord

_MOVE_STATES = {
    MoveState.RUNNING: pb.MOVE_STATE_RUNNING,
    MoveState.COMPLETED: pb.MOVE_STATE_COMPLETED,
    MoveState.TAKEN_BACK: pb.MOVE_STATE_TAKEN_BACK,
}
_EFFECTS = {
    Effect.NONE: pb.EFFECT_NONE,
    Effect.UNKNOWN: pb.EFFECT_UNKNOWN,
    Effect.APPLIED: pb.EFFECT_APPLIED,
}


def read_service(message: pb.Service) -> Service:
    """Convert a message to a service."""
    split = tuple(
        VersionShare(version=share.version, permille=share.permille) for share in message.split
    )
    return Service(name=message.name, versions=tuple(sorted(message.versions)), split=split)


def build_service(service: Service) -> pb.Service:
    """Convert a service to its message."""
    shares = [pb.VersionShare(version=s.version, permille=s.permille) for s in service.split]
    return pb.Service(name=service.name, versions=service.versions, split=shares)


def read_headers(messages: "Iterable[pb.HeaderMatch]") -> tuple[HeaderMatch, ...]:
    """Convert messages to header matches."""
    return tuple(HeaderMatch(name=each.name, value=each.value) for each in messages)


def read_route(message: pb.Route) -> Route:
    """Convert a message to a route; absent fields get the model's defaults."""
    default = Route(name="", service="")
    return Route(
        name=message.name,
        service=message.service,
        host=message.host,
        path_prefix=message.path_prefix or default.path_prefix,
        methods=tuple(message.methods),
        headers=read_headers(message.headers),
        pinned_version=message.pinned_version,
        idempotent=message.idempotent if message.HasField("idempotent") else None,
        timeout_ms=message.timeout_ms if message.HasField("timeout_ms") else default.timeout_ms,
        sticky_header=message.sticky_header.lower(),
    )


def build_route(route: Route) -> pb.Route:
    """Convert a route to its message."""
    return pb.Route(
        name=route.name,
        service=route.service,
        host=route.host,
        path_prefix=route.path_prefix,
        methods=route.methods,
        headers=[pb.HeaderMatch(name=each.name, value=each.value) for each in route.headers],
        pinned_version=route.pinned_version,
        idempotent=route.idempotent,
        timeout_ms=route.timeout_ms,
        sticky_header=route.sticky_header,
    )


def read_subscriber(message: pb.Subscriber) -> Subscriber:
    """Convert a message to a subscriber."""
    return Subscriber(name=message.name, share=message.share)


def build_subscriber(subscriber: Subscriber) -> pb.Subscriber:
    """Convert a subscriber to its message."""
    return pb.Subscriber(name=subscriber.name, share=subscriber.share)


def read_policy(message: pb.MovePolicy) -> MovePolicy:
    """Convert a message to a move policy; absent fields get the model's defaults."""
    default = MovePolicy()
    names = (
        "min_calls_per_step",
        "tolerated_error_permille",
        "tolerated_slowdown_percent",
        "caution",
    )
    fields = {name: getattr(message if message.HasField(name) else default, name) for name in names}
    steps = tuple(message.steps_permille) or default.steps_permille
    return MovePolicy(steps_permille=steps, **fields)


def build_policy(policy: MovePolicy) -> pb.MovePolicy:
    """Convert a move policy to its message."""
    return pb.MovePolicy(
        steps_permille=policy.steps_permille,
        min_calls_per_step=policy.min_calls_per_step,
        tolerated_error_permille=policy.tolerated_error_permille,
        tolerated_slowdown_percent=policy.tolerated_slowdown_percent,
        caution=policy.caution,
    )


def build_move(move: Move) -> pb.Move:
    """Convert a move to its message."""
    return pb.Move(
        id=move.id,
        service=move.service,
        from_version=move.from_version,
        to_version=move.to_version,
        started_unix_ms=move.started_unix_ms,
        deadline_unix_ms=move.deadline_unix_ms,
        policy=build_policy(move.policy),
        state=_MOVE_STATES[move.state],
        step=move.step,
        share_permille=move.share_permille,
        ended_unix_ms=move.ended_unix_ms,
        cause=move.cause,
        evidence=move.evidence,
    )


def build_config(snapshot: Snapshot, digest: str) -> pb.Config:
    """Convert a whole configuration to its message."""
    return pb.Config(
        version=snapshot.version,
        digest=digest,
        services=[build_service(each) for each in snapshot.services],
        routes=[build_route(each) for each in snapshot.routes],
        subscribers=[build_subscriber(each) for each in snapshot.subscribers],
        moves=[build_move(each) for each in snapshot.moves],
    )


def build_record(record: "AuditRecord") -> pb.AuditRecord:
    """Convert an audit record to its message."""
    return pb.AuditRecord(
        operation_id=record.operation_id,
        actor=record.actor,
        unix_ms=record.unix_ms,
        from_version=record.from_version,
        to_version=record.to_version,
        kind=record.kind,
        summary=record.summary,
    )


def build_error(error: CorianderwallError, operation_id: str) -> pb.Error:
    """Convert an error to its message."""
    return pb.Error(
        code=error.code.value,
        sentence=error.sentence,
        effect=_EFFECTS[error.effect],
        retry_after_s=error.retry_after_s,
        operation_id=operation_id,
    )


def read_error(message: pb.Error) -> CorianderwallError:
    """Convert a message to an error; unknown codes, as newer nodes send, become `INTERNAL`."""
    effects = {number: effect for effect, number in _EFFECTS.items()}
    known = {code.value: code for code in ErrorCode}
    return CorianderwallError(
        known.get(message.code, ErrorCode.INTERNAL),
        message.sentence,
        effect=effects.get(message.effect, Effect.UNKNOWN),
        retry_after_s=message.retry_after_s,
    )
