import json

import click
import pytest
import pytest_twisted
from click.testing import CliRunner, Result
from twisted.internet.threads import deferToThread

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.failures import ExitCode, NodesUnreachableError, choose_exit_code
from corianderwall.ctl.main import ctl
from corianderwall.ctl.move_commands import parse_deadline
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode

SERVICE = pb.Service(
    name="placements",
    versions=["v1", "v2"],
    split=[pb.VersionShare(version="v1", permille=1000)],
)
RECORD = pb.AuditRecord(operation_id="op-1", actor="asha", unix_ms=1_700_000_000_000, to_version=3)
MOVE = pb.Move(id="m1", service="placements", to_version="v2", state=pb.MOVE_STATE_RUNNING)
RESPONSES = {
    "GetConfig": pb.Config(version=3, services=[SERVICE], routes=[pb.Route(name="accept")]),
    "DiffConfig": pb.ConfigDiff(from_version=1, to_version=3),
    "WaitConfig": pb.InForce(version=3, in_force=True, known_nodes=2),
    "ListAudit": pb.AuditList(records=[RECORD]),
    "ListNodes": pb.NodeList(nodes=[pb.Node(name="n1", state="alive")]),
    "ListEndpoints": pb.EndpointList(endpoints=[pb.Endpoint(name="e1", service="placements")]),
    "ListMoves": pb.MoveList(moves=[MOVE]),
    "GetMove": MOVE,
    "GetOperation": pb.Operation(state=pb.OPERATION_STATE_APPLIED, record=RECORD),
    "Explain": pb.Explanation(reasons=["route accept matches"], endpoint="e1"),
}


@pytest.fixture
def invoke(node):
    for method, response in RESPONSES.items():
        node.set_responses(method, response)

    async def run(command: str, **environment: str) -> Result:
        environment = {"CORIANDERWALL_NODES": node.address, **environment}
        return await deferToThread(CliRunner().invoke, ctl, command.split(), env=environment)

    return run


@pytest.mark.parametrize(
    ("command", "method"),
    [
        ("service put placements --version v1", "PutService"),
        ("service delete placements", "DeleteService"),
        ("service list", "GetConfig"),
        ("version add placements v2", "AddVersion"),
        ("version remove placements v2", "RemoveVersion"),
        ("version list placements", "GetConfig"),
        ("route put accept --service placements", "PutRoute"),
        ("route delete accept", "DeleteRoute"),
        ("route list", "GetConfig"),
        ("subscriber put growers --share 2", "PutSubscriber"),
        ("subscriber delete growers", "DeleteSubscriber"),
        ("subscriber list", "GetConfig"),
        ("move start placements v2 --within 30m", "StartMove"),
        ("move status m1", "GetMove"),
        ("move list", "ListMoves"),
        ("move cancel m1 --reason wrong", "CancelMove"),
        ("node list", "ListNodes"),
        ("node endpoints", "ListEndpoints"),
        ("config show", "GetConfig"),
        ("config diff 1 3", "DiffConfig"),
        ("config history", "ListAudit"),
        ("config wait 3", "WaitConfig"),
        ("audit", "ListAudit"),
        ("operation op-1", "GetOperation"),
        ("explain GET /accept", "Explain"),
    ],
)
@pytest_twisted.ensureDeferred
async def test_each_command_calls_its_method_and_prints_table_and_json(
    invoke, node, command, method
) -> None:
    table = await invoke(command)
    assert (table.exit_code, node.requests[0][0]) == (0, method)
    assert table.stdout.strip()
    as_json = await invoke(f"--output json {command}")
    assert as_json.exit_code == 0
    assert isinstance(json.loads(as_json.stdout), dict)


@pytest_twisted.ensureDeferred
async def test_a_change_request_contains_the_given_options(invoke, node) -> None:
    result = await invoke(
        "route put accept --service placements --method post --header X-Kind=crew"
        " --not-idempotent --timeout-ms 900 --pin v2"
    )
    assert "7" in result.stdout
    sent = node.find_requests("PutRoute", pb.PutRouteRequest)[0]
    assert (sent.route.methods, sent.route.headers[0].name) == (["POST"], "x-kind")
    assert (sent.route.HasField("idempotent"), sent.route.idempotent) == (True, False)
    assert sent.identity.operation_id
    assert not sent.identity.repeated_call


@pytest_twisted.ensureDeferred
async def test_an_operation_is_sent_again_under_its_id(invoke, node) -> None:
    await invoke("--operation-id op-9 service delete placements")
    sent = node.find_requests("DeleteService", pb.DeleteRequest)[0]
    assert sent.identity == pb.Identity(operation_id="op-9", repeated_call=True)


@pytest_twisted.ensureDeferred
async def test_the_token_comes_from_the_environment_or_a_file(invoke, node, tmp_path) -> None:
    await invoke("node list", CORIANDERWALL_TOKEN="from-environment")
    path = tmp_path / "token"
    path.write_text("from-file\n")
    await invoke(f"--token-file {path} node list")
    assert node.authorizations == {"Bearer from-environment", "Bearer from-file"}


@pytest.mark.parametrize(
    ("code", "effect", "expected"),
    [
        (ErrorCode.NOT_FOUND, Effect.NONE, ExitCode.REFUSED),
        (ErrorCode.UNAUTHENTICATED, Effect.NONE, ExitCode.UNAUTHENTICATED),
        (ErrorCode.MOVE_IN_PROGRESS, Effect.NONE, ExitCode.CONFLICT),
        (ErrorCode.PLATFORM_THROTTLED, Effect.NONE, ExitCode.UNAVAILABLE),
        (ErrorCode.OUTCOME_UNKNOWN, Effect.UNKNOWN, ExitCode.OUTCOME_UNKNOWN),
        (ErrorCode.INTERNAL, Effect.NONE, ExitCode.INTERNAL),
        (ErrorCode.INTERNAL, Effect.UNKNOWN, ExitCode.OUTCOME_UNKNOWN),
    ],
)
@pytest_twisted.ensureDeferred
async def test_an_error_is_printed_with_its_effect_and_exits_by_kind(
    invoke, node, code, effect, expected
) -> None:
    node.set_responses("DeleteRoute", CorianderwallError(code, "a sentence", effect=effect))
    result = await invoke("--timeout 0.3 route delete accept")
    assert result.exit_code == expected
    assert "a sentence" in result.stderr
    assert f"effect: {effect.value}" in result.stderr
    assert ("ask later" in result.stderr) is (effect is Effect.UNKNOWN)


def test_every_error_code_has_an_exit_code_other_than_ok_and_usage() -> None:
    codes = {choose_exit_code(CorianderwallError(code, "")) for code in ErrorCode}
    assert not codes & {ExitCode.OK, ExitCode.USAGE}
    assert choose_exit_code(NodesUnreachableError("")) is ExitCode.UNREACHABLE


@pytest_twisted.ensureDeferred
async def test_move_watch_runs_until_the_move_ends(invoke, node) -> None:
    ended = pb.Move(id="m1", state=pb.MOVE_STATE_COMPLETED, share_permille=1000)
    node.set_responses("GetMove", ended)
    assert (await invoke("move watch m1")).exit_code == ExitCode.OK
    node.set_responses("GetMove", pb.Move(id="m1", state=pb.MOVE_STATE_TAKEN_BACK, cause="errors"))
    result = await invoke("move watch m1")
    assert (result.exit_code, "errors" in result.stdout) == (ExitCode.TAKEN_BACK, True)
    node.set_responses("GetMove", MOVE)
    assert (await invoke("move watch m1 --for 0")).exit_code == ExitCode.NOT_REACHED


@pytest_twisted.ensureDeferred
async def test_config_wait_lists_the_nodes_without_the_version(invoke, node) -> None:
    lagging = pb.LaggingNode(name="n2", version=1)
    node.set_responses("WaitConfig", pb.InForce(version=3, known_nodes=2, lagging=[lagging]))
    result = await invoke("config wait --for 0")
    assert (result.exit_code, "n2" in result.stdout) == (ExitCode.NOT_REACHED, True)


@pytest.mark.parametrize(
    "command",
    [
        "service put placements",
        "service put placements --version v1 --split v1",
        "service put placements --version v1 --split v1=1001",
        "move start placements v2",
        "move start placements v2 --within 30m --by 2030-01-01",
        "move start placements v2 --within 30x",
        "move start placements v2 --by soon",
        "route put accept --service placements --header x",
        "config diff nine",
        "nonsense",
    ],
)
@pytest_twisted.ensureDeferred
async def test_a_wrong_command_line_exits_2_without_a_call(invoke, node, command) -> None:
    assert (await invoke(command)).exit_code == ExitCode.USAGE
    assert node.requests == []


def test_a_call_without_a_node_is_a_usage_error() -> None:
    result = CliRunner().invoke(ctl, ["node", "list"], env={"CORIANDERWALL_NODES": ""})
    assert (result.exit_code, "--node" in result.output) == (ExitCode.USAGE, True)


def test_deadlines_are_parsed_from_spans_and_instants() -> None:
    assert parse_deadline("90s", None, 1000.0) == 1_090_000
    assert parse_deadline(None, "2030-01-01T00:00:00Z", 0) == 1_893_456_000_000
    assert parse_deadline(None, "2030-01-01T00:00:00", 0) == 1_893_456_000_000


def list_commands(group: click.Group) -> list[click.Command]:
    found: list[click.Command] = []
    for command in group.commands.values():
        found += list_commands(command) if isinstance(command, click.Group) else [command]
    return found


def test_every_command_has_help_with_an_example() -> None:
    for command in list_commands(ctl):
        assert "Example: " in (command.help or ""), command.name


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_the_completion_script_is_printed(shell) -> None:
    result = CliRunner().invoke(ctl, ["completion", shell], prog_name="corianderwall")
    assert (result.exit_code, "_CORIANDERWALL_COMPLETE" in result.stdout) == (0, True)
