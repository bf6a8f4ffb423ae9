import json
import logging
from collections.abc import AsyncIterator
from random import Random

import pytest
import pytest_twisted
import treq
from click.testing import CliRunner
from google.protobuf import json_format
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.convert import read_error
from corianderwall.ctl.main import ctl
from corianderwall.model.endpoint import Address, Endpoint, Host, Locality
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.node.operator_backend import (
    CallDescription,
    CallExplanation,
    EndpointStatus,
    LaggingNode,
    NodeStatus,
    RolloutStatus,
)
from corianderwall.node.operator_calls import OperatorCalls
from corianderwall.node.operator_changes import CHANGE_CALLS
from corianderwall.node.operators import (
    JSON_TYPE,
    MAX_REQUEST_BYTES,
    PREFIX,
    PROTOBUF_TYPE,
    OperatorApp,
    OperatorSite,
    decode_message,
    find_http_status,
)
from corianderwall.standins.memory import ManualTimer, MemoryObjectApi
from corianderwall.store.head import HeadStore

TOKEN = "a-token-of-asha"
LOCALITY = Locality(region="midlands", zone="z1")
ADDRESS = Address(host="127.0.0.1", port=7000)
HOST = Host(name="n1", locality=LOCALITY, peer_address=ADDRESS, call_address=ADDRESS)
FAR = 1e9
METHODS = sorted(pb.DESCRIPTOR.services_by_name["Operators"].methods_by_name)


class MemoryBackend:
    """A backend on a head store in memory; `failure`, if set, is raised by commits and reads."""

    def __init__(self) -> None:
        self.timer = ManualTimer()
        self.store = HeadStore(MemoryObjectApi(), self.timer, Random(1))
        self.failure: Exception | None = None
        self.described: CallDescription | None = None

    def check(self) -> None:
        if self.failure is not None:
            raise self.failure

    async def commit(self, operation, *, repeated):
        self.check()
        return await self.store.commit(operation, deadline=FAR, repeated=repeated)

    async def resolve(self, operation_id):
        self.check()
        return await self.store.resolve(operation_id, deadline=FAR)

    async def read_snapshot(self):
        self.check()
        return (await self.store.read_head(deadline=FAR)).head.snapshot

    async def read_snapshot_at(self, version):
        return await self.store.read_snapshot_at(version, deadline=FAR)

    async def list_nodes(self):
        return (NodeStatus(host=HOST, state="alive", active_version=2),)

    async def list_endpoints(self):
        endpoint = Endpoint(
            name="e1",
            service="placements",
            version="v1",
            node="n1",
            locality=LOCALITY,
            address=ADDRESS,
            slots=6,
            connections=110,
        )
        return (EndpointStatus(endpoint=endpoint, running=3),)

    async def wait_for_rollout(self, version, deadline):
        lagging = (LaggingNode(name="n2", version=1),) if version > 1 else ()
        return RolloutStatus(version=version, known_nodes=2, lagging=lagging)

    async def read_audit(self, *, before_version, limit):
        return await self.store.read_audit(before_version=before_version, limit=limit, deadline=FAR)

    async def explain(self, call):
        self.described = call
        return CallExplanation(reasons=("no route matches",), refusal=ErrorCode.NO_ROUTE)


class Server:
    """The app on a socket and a client that sends the operator's token."""

    def __init__(self) -> None:
        self.backend = MemoryBackend()
        app = OperatorApp(self.backend, {"asha": TOKEN}, self.backend.timer, Random(2))
        site = OperatorSite(app.build_resource())
        self.listener = reactor.listenTCP(0, site, interface="127.0.0.1")

    async def post(self, path: str, body: bytes, media_type: str = JSON_TYPE, token: str = TOKEN):
        url = f"http://127.0.0.1:{self.listener.getHost().port}{path}"
        headers = {"content-type": media_type, "authorization": f"Bearer {token}"}
        response = await treq.post(url, body, headers=headers, persistent=False, timeout=5)
        return response.code, await response.content()

    async def call(self, method: str, request, response_type):
        code, body = await self.post(PREFIX + method, request.SerializeToString(), PROTOBUF_TYPE)
        assert code == 200, body
        return response_type.FromString(body)

    async def fail(self, path: str, body: bytes, **options) -> tuple[int, CorianderwallError]:
        code, response = await self.post(path, body, **options)
        assert code != 200
        return code, read_error(json_format.Parse(response, pb.Error()))


@pytest_twisted.async_yield_fixture
async def server() -> AsyncIterator[Server]:
    running = Server()
    yield running
    await running.listener.stopListening()


def build_put_service(operation_id: str = "op-1") -> pb.PutServiceRequest:
    share = pb.VersionShare(version="v1", permille=1000)
    service = pb.Service(name="placements", versions=["v1", "v2"], split=[share])
    return pb.PutServiceRequest(identity=pb.Identity(operation_id=operation_id), service=service)


@pytest_twisted.ensureDeferred
async def test_a_change_is_made_once_under_the_operators_name(server) -> None:
    first = await server.call("PutService", build_put_service(), pb.ChangeResult)
    again = await server.call("PutService", build_put_service(), pb.ChangeResult)
    assert first == again
    assert (first.version, first.record.actor, first.operation_id) == (1, "asha", "op-1")
    config = await server.call("GetConfig", pb.GetConfigRequest(), pb.Config)
    assert [service.name for service in config.services] == ["placements"]


@pytest_twisted.ensureDeferred
async def test_json_and_protobuf_bodies_mean_the_same(server) -> None:
    body = json_format.MessageToJson(build_put_service(""), preserving_proto_field_name=True)
    code, response = await server.post(PREFIX + "PutService", body.encode())
    result = json_format.Parse(response, pb.ChangeResult())
    assert (code, result.version) == (200, 1)
    assert result.operation_id
    request = pb.GetOperationRequest(operation_id=result.operation_id)
    found = await server.call("GetOperation", request, pb.Operation)
    assert found.state == pb.OPERATION_STATE_APPLIED


@pytest_twisted.ensureDeferred
async def test_a_move_is_started_read_and_cancelled(server) -> None:
    await server.call("PutService", build_put_service(), pb.ChangeResult)
    deadline = int(server.backend.timer.read_unix() * 1000) + 60_000
    start = pb.StartMoveRequest(
        move_id="m1", service="placements", to_version="v2", deadline_unix_ms=deadline
    )
    await server.call("StartMove", start, pb.ChangeResult)
    move = await server.call("GetMove", pb.GetMoveRequest(move_id="m1"), pb.Move)
    assert (move.state, move.policy.caution) == (pb.MOVE_STATE_RUNNING, 0.5)
    cancel = pb.CancelMoveRequest(move_id="m1", reason="wrong build")
    await server.call("CancelMove", cancel, pb.ChangeResult)
    moves = await server.call("ListMoves", pb.ListMovesRequest(), pb.MoveList)
    assert moves.moves[0].state == pb.MOVE_STATE_TAKEN_BACK
    assert moves.moves[0].evidence == "wrong build"
    start.deadline_unix_ms = 1
    code, error = await server.fail(PREFIX + "StartMove", json_format.MessageToJson(start).encode())
    assert (code, error.code) == (422, ErrorCode.DEADLINE_UNREACHABLE)


@pytest_twisted.ensureDeferred
async def test_the_command_line_client_works_with_the_server(server) -> None:
    address = f"127.0.0.1:{server.listener.getHost().port}"
    environment = {"CORIANDERWALL_NODES": address, "CORIANDERWALL_TOKEN": TOKEN}

    async def run(command: str):
        return await deferToThread(CliRunner().invoke, ctl, command.split(), env=environment)

    assert (await run("service put placements --version v1 --version v2")).exit_code == 0
    assert (await run("move start placements v2 --by 2030-01-01 --id spring")).exit_code == 0
    shown = await run("--output json move status spring")
    assert json.loads(shown.stdout)["state"] == "MOVE_STATE_RUNNING"
    assert "asha" in (await run("audit")).stdout
    assert "there is no service 'hifadhi'" in (await run("service delete hifadhi")).stderr


@pytest_twisted.ensureDeferred
async def test_a_route_keeps_its_fields_and_the_difference_is_shown(server) -> None:
    await server.call("PutService", build_put_service(), pb.ChangeResult)
    route = pb.Route(name="accept", service="placements", idempotent=False, sticky_header="X-Id")
    await server.call("PutRoute", pb.PutRouteRequest(route=route), pb.ChangeResult)
    config = await server.call("GetConfig", pb.GetConfigRequest(), pb.Config)
    stored = config.routes[0]
    assert (stored.timeout_ms, stored.path_prefix) == (15_000, "/")
    assert (stored.HasField("idempotent"), stored.sticky_header) == (True, "x-id")
    request = pb.DiffConfigRequest(from_version=1, to_version=2)
    diff = await server.call("DiffConfig", request, pb.ConfigDiff)
    assert [(each.kind, each.name, each.before) for each in diff.differences] == [
        ("route", "accept", "")
    ]


@pytest_twisted.ensureDeferred
async def test_reads_return_the_state_of_the_backend(server) -> None:
    nodes = await server.call("ListNodes", pb.ListNodesRequest(), pb.NodeList)
    assert (nodes.nodes[0].name, nodes.nodes[0].zone) == ("n1", "z1")
    request = pb.ListEndpointsRequest(service="placements")
    endpoints = await server.call("ListEndpoints", request, pb.EndpointList)
    assert endpoints.endpoints[0].running == 3
    waited = await server.call("WaitConfig", pb.WaitConfigRequest(version=2), pb.InForce)
    assert (waited.in_force, waited.lagging[0].name) == (False, "n2")
    request = pb.ExplainRequest(method="get", path="/shifts", subscriber="growers")
    explained = await server.call("Explain", request, pb.Explanation)
    assert explained.refusal_code == "CW400"
    assert server.backend.described.method == "GET"
    await server.call("PutService", build_put_service(), pb.ChangeResult)
    audit = await server.call("ListAudit", pb.ListAuditRequest(), pb.AuditList)
    assert [record.kind for record in audit.records] == ["put_service"]


@pytest.mark.parametrize("token", ["", "a-token-of-ash", "a-token-of-asha2", "\u00e9"])
@pytest_twisted.ensureDeferred
async def test_an_unknown_operator_gets_nothing_and_no_token_is_logged(
    server, caplog, token
) -> None:
    caplog.set_level(logging.DEBUG)
    for method in ("GetConfig", "PutService", "Nonsense"):
        code, error = await server.fail(PREFIX + method, b"{}", token=token)
        assert (code, error.code) == (401, ErrorCode.UNAUTHENTICATED)
    await server.post(PREFIX + "GetConfig", b"{}")
    assert TOKEN not in caplog.text


@pytest.mark.parametrize("code", list(ErrorCode))
@pytest_twisted.ensureDeferred
async def test_every_error_reaches_the_operator_whole(server, code) -> None:
    server.backend.failure = CorianderwallError(
        code, "a sentence", effect=Effect.UNKNOWN, retry_after_s=1.5
    )
    status, error = await server.fail(PREFIX + "GetConfig", b"{}")
    assert status == find_http_status(code) >= 400
    assert (error.code, error.sentence) == (code, "a sentence")
    assert (error.effect, error.retry_after_s) == (Effect.UNKNOWN, 1.5)


@pytest_twisted.ensureDeferred
async def test_an_unforeseen_failure_of_a_change_may_have_had_an_effect(server) -> None:
    server.backend.failure = KeyError("broken")
    body = json_format.MessageToJson(build_put_service()).encode()
    status, error = await server.fail(PREFIX + "PutService", body)
    assert (status, error.code, error.effect) == (500, ErrorCode.INTERNAL, Effect.UNKNOWN)
    status, error = await server.fail(PREFIX + "GetConfig", b"{}")
    assert (status, error.effect) == (500, Effect.NONE)


@pytest.mark.parametrize(
    ("path", "body", "media_type", "code"),
    [
        (PREFIX + "GetConfig", b"{", JSON_TYPE, ErrorCode.MALFORMED_REQUEST),
        (PREFIX + "GetConfig", b'{"version": "x"}', JSON_TYPE, ErrorCode.MALFORMED_REQUEST),
        (PREFIX + "GetConfig", b'{"versoin": 1}', JSON_TYPE, ErrorCode.MALFORMED_REQUEST),
        (PREFIX + "GetConfig", b"\xff\xff", PROTOBUF_TYPE, ErrorCode.MALFORMED_REQUEST),
        (PREFIX + "GetConfig", b"{}", "text/plain", ErrorCode.MALFORMED_REQUEST),
        (PREFIX + "GetConfig", b"[" * 100_000, JSON_TYPE, ErrorCode.MALFORMED_REQUEST),
        (PREFIX + "Nonsense", b"{}", JSON_TYPE, ErrorCode.NOT_FOUND),
        ("/other", b"{}", JSON_TYPE, ErrorCode.NOT_FOUND),
        (
            PREFIX + "GetConfig",
            b" " * (MAX_REQUEST_BYTES + 1),
            JSON_TYPE,
            ErrorCode.REQUEST_TOO_LARGE,
        ),
        (
            PREFIX + "DeleteRoute",
            b'{"identity": {"operation_id": "not valid"}}',
            JSON_TYPE,
            ErrorCode.INVALID_ARGUMENT,
        ),
    ],
)
@pytest_twisted.ensureDeferred
async def test_bad_calls_get_a_coded_error_and_the_next_one_is_served(
    server, path, body, media_type, code
) -> None:
    status, response = await server.post(path, body, media_type)
    message = pb.Error()
    if media_type == PROTOBUF_TYPE:
        message.ParseFromString(response)
    else:
        json_format.Parse(response, message)
    error = read_error(message)
    assert (status, error.code) == (find_http_status(code), code)
    assert (await server.post(PREFIX + "GetConfig", b"{}"))[0] == 200


def test_every_method_of_the_schema_is_served() -> None:
    calls = OperatorCalls(MemoryBackend(), ManualTimer(), Random(1))
    schema = pb.DESCRIPTOR.services_by_name["Operators"].methods_by_name
    for method in METHODS:
        served = calls.find_request_type(method).DESCRIPTOR.name
        assert served == schema[method].input_type.name
    assert set(CHANGE_CALLS) <= set(METHODS)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=300), st.sampled_from(METHODS), st.sampled_from([JSON_TYPE, PROTOBUF_TYPE])
)
def test_random_bytes_decode_or_are_reported_as_malformed(
    data: bytes, method: str, media_type: str
) -> None:
    calls = OperatorCalls(MemoryBackend(), ManualTimer(), Random(1))
    request_type = calls.find_request_type(method)
    try:
        message = decode_message(data, media_type, request_type)
    except CorianderwallError as error:
        assert error.code is ErrorCode.MALFORMED_REQUEST
    else:
        assert isinstance(message, request_type)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=10),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["identity", "service", "route", "name", "version", "split", "share"]),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(JSON, st.sampled_from(sorted(CHANGE_CALLS)))
def test_json_of_any_shape_is_applied_or_refused_with_a_code(body: object, method: str) -> None:
    backend = MemoryBackend()
    calls = OperatorCalls(backend, backend.timer, Random(1))

    async def run() -> ErrorCode | None:
        try:
            data = json.dumps(body).encode()
            request = decode_message(data, JSON_TYPE, calls.find_request_type(method))
            await calls.change(method, request, calls.choose_operation_id(request), "asha")
        except CorianderwallError as error:
            return error.code
        return None

    ended: list[object] = []
    Deferred.fromCoroutine(run()).addBoth(ended.append)
    assert ended[0] is None or ended[0] is ErrorCode.MALFORMED_REQUEST or ended[0] < "CW200"
