"""The operators' calls, from the decoded request to the response message."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.convert import build_config, build_move, build_record, read_headers
from corianderwall.model.change import Operation, find_move
from corianderwall.model.clock import Clock
from corianderwall.model.codec import compute_digest
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Move, Snapshot
from corianderwall.node.operator_backend import CallDescription, OperatorBackend
from corianderwall.node.operator_changes import CHANGE_CALLS, ChangeContext
from corianderwall.store.head import OperationState
from corianderwall.store.operation import is_operation_id, make_operation_id

DEFAULT_AUDIT_RECORDS = 50
MAX_AUDIT_RECORDS = 500
MAX_WAIT_S = 30.0
"""Longest wait of one call; the client repeats the call to wait longer."""

_STATES = {
    OperationState.APPLIED: pb.OPERATION_STATE_APPLIED,
    OperationState.NOT_APPLIED: pb.OPERATION_STATE_NOT_APPLIED,
    OperationState.UNKNOWN: pb.OPERATION_STATE_UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class ReadCall:
    """A method that only reads."""

    request_type: type[Any]
    run: Callable[[Any], Awaitable[Any]]


class OperatorCalls:
    """Runs the operators' calls on a backend."""

    def __init__(self, backend: OperatorBackend, clock: Clock, random: Random) -> None:
        self._backend = backend
        self._clock = clock
        self._random = random
        self._reads = {
            "GetOperation": ReadCall(pb.GetOperationRequest, self._get_operation),
            "GetConfig": ReadCall(pb.GetConfigRequest, self._get_config),
            "DiffConfig": ReadCall(pb.DiffConfigRequest, self._diff_config),
            "WaitConfig": ReadCall(pb.WaitConfigRequest, self._wait_config),
            "GetMove": ReadCall(pb.GetMoveRequest, self._get_move),
            "ListMoves": ReadCall(pb.ListMovesRequest, self._list_moves),
            "ListNodes": ReadCall(pb.ListNodesRequest, self._list_nodes),
            "ListEndpoints": ReadCall(pb.ListEndpointsRequest, self._list_endpoints),
            "ListAudit": ReadCall(pb.ListAuditRequest, self._list_audit),
            "Explain": ReadCall(pb.ExplainRequest, self._explain),
        }

    def find_request_type(self, method: str) -> type[Any]:
        """Return the type of a method's request message, or raise `NOT_FOUND`."""
        call = CHANGE_CALLS.get(method) or self._reads.get(method)
        if call is None:
            raise CorianderwallError(ErrorCode.NOT_FOUND, f"there is no method {method!r}")
        return call.request_type

    def is_change(self, method: str) -> bool:
        """Return whether the method changes the configuration."""
        return method in CHANGE_CALLS

    def choose_operation_id(self, request: Any) -> str:
        """Return the operation id of a change, or a new one if the client sent none."""
        wanted: str = request.identity.operation_id
        if not wanted:
            return make_operation_id(self._read_unix_ms(), self._random)
        if not is_operation_id(wanted):
            raise CorianderwallError(
                ErrorCode.INVALID_ARGUMENT,
                "an operation id has 1 to 64 letters, digits, dots, dashes and underscores",
            )
        return wanted

    async def change(self, method: str, request: Any, operation_id: str, actor: str) -> Any:
        """Commit the change that the method requests."""
        context = ChangeContext(operation_id, self._read_unix_ms())
        change = CHANGE_CALLS[method].build(request, context)
        operation = Operation(operation_id, actor, change)
        committed = await self._backend.commit(operation, repeated=request.identity.repeated_call)
        return pb.ChangeResult(
            version=committed.version,
            operation_id=operation_id,
            record=build_record(committed.record),
        )

    async def read(self, method: str, request: Any) -> Any:
        """Run a method that only reads and return its response message."""
        return await self._reads[method].run(request)

    def _read_unix_ms(self) -> int:
        return int(self._clock.read_unix() * 1000)

    async def _read_version(self, version: int) -> Snapshot:
        newest = await self._backend.read_snapshot()
        if version in (0, newest.version):
            return newest
        return await self._backend.read_snapshot_at(version)

    async def _get_operation(self, request: pb.GetOperationRequest) -> Any:
        if not is_operation_id(request.operation_id):
            raise CorianderwallError(ErrorCode.INVALID_ARGUMENT, "the operation id is not valid")
        resolution = await self._backend.resolve(request.operation_id)
        return pb.Operation(
            operation_id=request.operation_id,
            state=_STATES[resolution.state],
            record=None if resolution.record is None else build_record(resolution.record),
        )

    async def _get_config(self, request: pb.GetConfigRequest) -> Any:
        snapshot = await self._read_version(request.version)
        return build_config(snapshot, compute_digest(snapshot))

    async def _diff_config(self, request: pb.DiffConfigRequest) -> Any:
        older = await self._read_version(request.from_version)
        newer = await self._read_version(request.to_version)
        return pb.ConfigDiff(
            from_version=older.version,
            to_version=newer.version,
            differences=find_differences(older, newer),
        )

    async def _wait_config(self, request: pb.WaitConfigRequest) -> Any:
        version = request.version or (await self._backend.read_snapshot()).version
        wait_s = request.deadline_unix_ms / 1000 - self._clock.read_unix()
        deadline = self._clock.read_monotonic() + min(max(wait_s, 0), MAX_WAIT_S)
        status = await self._backend.wait_for_rollout(version, deadline)
        return pb.InForce(
            version=version,
            in_force=status.is_complete,
            known_nodes=status.known_nodes,
            lagging=[pb.LaggingNode(name=n.name, version=n.version) for n in status.lagging],
        )

    async def _get_move(self, request: pb.GetMoveRequest) -> Any:
        return build_move(find_move(await self._backend.read_snapshot(), request.move_id))

    async def _list_moves(self, request: pb.ListMovesRequest) -> Any:
        snapshot = await self._backend.read_snapshot()
        return pb.MoveList(moves=[build_move(move) for move in snapshot.moves])

    async def _list_nodes(self, request: pb.ListNodesRequest) -> Any:
        nodes = [
            pb.Node(
                name=status.host.name,
                region=status.host.locality.region,
                zone=status.host.locality.zone,
                peer_address=str(status.host.peer_address),
                call_address=str(status.host.call_address),
                incarnation=status.host.incarnation,
                state=status.state,
                version_in_force=status.active_version,
            )
            for status in await self._backend.list_nodes()
        ]
        return pb.NodeList(nodes=nodes)

    async def _list_endpoints(self, request: pb.ListEndpointsRequest) -> Any:
        endpoints = [
            pb.Endpoint(
                name=status.endpoint.name,
                service=status.endpoint.service,
                version=status.endpoint.version,
                node=status.endpoint.node,
                zone=status.endpoint.locality.zone,
                address=str(status.endpoint.address),
                state=status.endpoint.state.value,
                slots=status.endpoint.slots,
                connections=status.endpoint.connections,
                running=status.running,
            )
            for status in await self._backend.list_endpoints()
            if request.service in ("", status.endpoint.service)
        ]
        return pb.EndpointList(endpoints=endpoints)

    async def _list_audit(self, request: pb.ListAuditRequest) -> Any:
        records = await self._backend.read_audit(
            before_version=request.before_version or None,
            limit=min(request.limit or DEFAULT_AUDIT_RECORDS, MAX_AUDIT_RECORDS),
        )
        return pb.AuditList(records=[build_record(record) for record in records])

    async def _explain(self, request: pb.ExplainRequest) -> Any:
        if not request.path.startswith("/"):
            raise CorianderwallError(ErrorCode.INVALID_ARGUMENT, "the path must start with /")
        call = CallDescription(
            method=request.method.upper() or "GET",
            host=request.host,
            path=request.path,
            headers=read_headers(request.headers),
            subscriber=request.subscriber,
        )
        found = await self._backend.explain(call)
        return pb.Explanation(
            route=found.route,
            service=found.service,
            version=found.version,
            endpoint=found.endpoint,
            reasons=found.reasons,
            refusal_code=found.refusal.value if found.refusal else "",
        )


def find_differences(older: Snapshot, newer: Snapshot) -> list[pb.Difference]:
    """Return the resources that differ between two snapshots, by kind and name."""
    differences: list[pb.Difference] = []
    for kind, before, after in (
        ("service", older.services, newer.services),
        ("route", older.routes, newer.routes),
        ("subscriber", older.subscribers, newer.subscribers),
        ("move", older.moves, newer.moves),
    ):
        differences.extend(_diff_resources(kind, _encode_by_name(before), _encode_by_name(after)))
    return differences


def _encode_by_name(items: tuple[Any, ...]) -> dict[str, str]:
    return {
        item.id if isinstance(item, Move) else item.name: msgspec.json.encode(item).decode()
        for item in items
    }


def _diff_resources(
    kind: str, before: dict[str, str], after: dict[str, str]
) -> list[pb.Difference]:
    return [
        pb.Difference(kind=kind, name=name, before=before.get(name, ""), after=after.get(name, ""))
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    ]
