"""The configuration changes that operators request, built from their request messages."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.convert import read_policy, read_route, read_service, read_subscriber
from corianderwall.model.change import (
    AddVersion,
    Change,
    DeleteRoute,
    DeleteService,
    DeleteSubscriber,
    EndMove,
    PutRoute,
    PutService,
    PutSubscriber,
    RemoveVersion,
    StartMove,
)
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import MoveState

OPERATOR_FENCING_TOKEN = (1 << 63) - 1
"""Fencing token of a move's cancellation; it is higher than the token of any lease."""

MAX_REASON_CHARACTERS = 500
CANCELLED_CAUSE = "cancelled by operator"


@dataclass(frozen=True, slots=True)
class ChangeContext:
    """The operation id and the time of the call that requests a change."""

    operation_id: str
    unix_ms: int


@dataclass(frozen=True, slots=True)
class ChangeCall:
    """A method that changes the configuration."""

    request_type: type[Any]
    build: Callable[[Any, ChangeContext], Change]


def _build_start_move(request: pb.StartMoveRequest, context: ChangeContext) -> Change:
    if request.deadline_unix_ms <= context.unix_ms:
        raise CorianderwallError(
            ErrorCode.DEADLINE_UNREACHABLE, "the deadline of the move has already passed"
        )
    return StartMove(
        move_id=request.move_id or context.operation_id,
        service=request.service,
        to_version=request.to_version,
        started_unix_ms=context.unix_ms,
        deadline_unix_ms=request.deadline_unix_ms,
        policy=read_policy(request.policy),
    )


def _build_cancel_move(request: pb.CancelMoveRequest, context: ChangeContext) -> Change:
    if len(request.reason) > MAX_REASON_CHARACTERS:
        raise CorianderwallError(
            ErrorCode.INVALID_ARGUMENT, f"a reason has at most {MAX_REASON_CHARACTERS} characters"
        )
    return EndMove(
        move_id=request.move_id,
        state=MoveState.TAKEN_BACK,
        cause=CANCELLED_CAUSE,
        evidence=request.reason,
        ended_unix_ms=context.unix_ms,
        fencing=OPERATOR_FENCING_TOKEN,
    )


CHANGE_CALLS = {
    "PutService": ChangeCall(
        pb.PutServiceRequest, lambda request, _: PutService(read_service(request.service))
    ),
    "DeleteService": ChangeCall(pb.DeleteRequest, lambda request, _: DeleteService(request.name)),
    "AddVersion": ChangeCall(
        pb.VersionRequest, lambda request, _: AddVersion(request.service, request.version)
    ),
    "RemoveVersion": ChangeCall(
        pb.VersionRequest, lambda request, _: RemoveVersion(request.service, request.version)
    ),
    "PutRoute": ChangeCall(
        pb.PutRouteRequest, lambda request, _: PutRoute(read_route(request.route))
    ),
    "DeleteRoute": ChangeCall(pb.DeleteRequest, lambda request, _: DeleteRoute(request.name)),
    "PutSubscriber": ChangeCall(
        pb.PutSubscriberRequest,
        lambda request, _: PutSubscriber(read_subscriber(request.subscriber)),
    ),
    "DeleteSubscriber": ChangeCall(
        pb.DeleteRequest, lambda request, _: DeleteSubscriber(request.name)
    ),
    "StartMove": ChangeCall(pb.StartMoveRequest, _build_start_move),
    "CancelMove": ChangeCall(pb.CancelMoveRequest, _build_cancel_move),
}
