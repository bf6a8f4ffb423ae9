"""Commands that show nodes, configuration, audit trail, operations and routing decisions."""

import sys
import time

import click

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.failures import ExitCode
from corianderwall.ctl.output import convert_to_json, format_time
from corianderwall.ctl.resource_commands import parse_pairs
from corianderwall.ctl.session import Session

MAX_WAIT_PER_CALL_S = 10.0
"""Longest time that one call of `config wait` waits at the node."""

_OPERATION_STATES = {
    pb.OPERATION_STATE_APPLIED: "applied",
    pb.OPERATION_STATE_NOT_APPLIED: "not applied",
    pb.OPERATION_STATE_UNKNOWN: "unknown",
}


@click.group()
def node() -> None:
    """Nodes and their local endpoints."""


@node.command("list")
@click.pass_obj
def list_nodes(session: Session) -> None:
    """List the nodes known to the node that is called.

    Example: corianderwall ctl node list
    """
    response = session.call("ListNodes", pb.ListNodesRequest(), pb.NodeList)
    rows = [
        [each.name, each.region, each.zone, each.state, each.version_in_force, each.peer_address]
        for each in response.nodes
    ]
    session.show(response, ["node", "region", "zone", "state", "version", "address"], rows)


@node.command("endpoints")
@click.option("--service", default="", help="All services if absent.")
@click.pass_obj
def list_endpoints(session: Session, service: str) -> None:
    """List the endpoints and their load.

    Example: corianderwall ctl node endpoints --service placements
    """
    request = pb.ListEndpointsRequest(service=service)
    response = session.call("ListEndpoints", request, pb.EndpointList)
    rows = [
        [
            each.name,
            each.service,
            each.version,
            each.node,
            each.state,
            f"{each.running}/{each.slots}",
        ]
        for each in response.endpoints
    ]
    session.show(response, ["endpoint", "service", "version", "node", "state", "running"], rows)


@click.group()
def config() -> None:
    """The configuration, its history and the nodes where it is active."""


@config.command("show")
@click.option("--version", type=click.IntRange(0), default=0, help="The newest if absent.")
@click.pass_obj
def show_config(session: Session, version: int) -> None:
    """Show a whole configuration.

    Example: corianderwall ctl config show --version 12
    """
    response = session.read_config(version)
    rows = [["service", each.name] for each in response.services]
    rows += [["route", each.name] for each in response.routes]
    rows += [["subscriber", each.name] for each in response.subscribers]
    rows += [["move", each.id] for each in response.moves]
    session.show(response, [f"version {response.version}", "name"], rows)


@config.command("diff")
@click.argument("from_version", type=click.IntRange(1))
@click.argument("to_version", type=click.IntRange(0), default=0)
@click.pass_obj
def diff_config(session: Session, from_version: int, to_version: int) -> None:
    """Show the differences between two versions; the second is the newest if absent.

    Example: corianderwall ctl config diff 12 14
    """
    request = pb.DiffConfigRequest(from_version=from_version, to_version=to_version)
    response = session.call("DiffConfig", request, pb.ConfigDiff)
    rows = [
        [each.kind, each.name, each.before or "-", each.after or "-"]
        for each in response.differences
    ]
    session.show(
        response, ["kind", "name", f"v{response.from_version}", f"v{response.to_version}"], rows
    )


@config.command("history")
@click.option("--before", type=click.IntRange(0), default=0, help="Only earlier versions.")
@click.option("--limit", type=click.IntRange(1, 500), default=20, show_default=True)
@click.pass_obj
def show_history(session: Session, before: int, limit: int) -> None:
    """List the versions, newest first.

    Example: corianderwall ctl config history --limit 5
    """
    response = _read_audit(session, before, limit)
    rows = [[each.to_version, format_time(each.unix_ms), each.summary] for each in response.records]
    session.show(response, ["version", "time", "change"], rows)


@config.command("wait")
@click.argument("version", type=click.IntRange(0), default=0)
@click.option("--for", "span_s", type=click.FloatRange(0), default=30, show_default=True)
@click.pass_obj
def wait_config(session: Session, version: int, span_s: float) -> None:
    """Wait until a version is active on every known node; exit 9 if some lack it.

    Example: corianderwall ctl config wait 14 --for 10
    """
    response = _wait_until_active(session, version, span_s)
    rows = [[each.name, each.version] for each in response.lagging]
    if response.in_force:
        rows = [["all known nodes", response.version]]
    session.show(response, ["node", "version"], rows)
    if not response.in_force:
        sys.exit(ExitCode.NOT_REACHED)


def _wait_until_active(session: Session, version: int, span_s: float) -> pb.InForce:
    deadline = time.time() + span_s
    while True:
        call_deadline = min(deadline, time.time() + min(MAX_WAIT_PER_CALL_S, session.timeout_s / 2))
        request = pb.WaitConfigRequest(version=version, deadline_unix_ms=int(call_deadline * 1000))
        response: pb.InForce = session.call("WaitConfig", request, pb.InForce)
        # The node resolves version 0 to the newest; later calls must wait for that same version,
        # not for one that was created meanwhile.
        version = response.version
        if response.in_force or time.time() >= deadline:
            return response


@click.command("audit")
@click.option("--before", type=click.IntRange(0), default=0, help="Only earlier versions.")
@click.option("--limit", type=click.IntRange(1, 500), default=20, show_default=True)
@click.pass_obj
def audit(session: Session, before: int, limit: int) -> None:
    """Show who changed what, newest first.

    Example: corianderwall ctl audit --limit 50
    """
    response = _read_audit(session, before, limit)
    rows = [
        [each.to_version, format_time(each.unix_ms), each.actor, each.operation_id, each.summary]
        for each in response.records
    ]
    session.show(response, ["version", "time", "actor", "operation", "change"], rows)


def _read_audit(session: Session, before: int, limit: int) -> pb.AuditList:
    request = pb.ListAuditRequest(before_version=before, limit=limit)
    response: pb.AuditList = session.call("ListAudit", request, pb.AuditList)
    return response


@click.command("operation")
@click.argument("operation_id")
@click.pass_obj
def operation(session: Session, operation_id: str) -> None:
    """Show the outcome of a change; exit 7 while it is unknown.

    Example: corianderwall ctl operation 018f2f6e8c11-9a1b2c3d4e5f6071
    """
    request = pb.GetOperationRequest(operation_id=operation_id)
    response = session.call("GetOperation", request, pb.Operation)
    state = _OPERATION_STATES.get(response.state, "unknown")
    version = response.record.to_version if response.HasField("record") else "-"
    session.show(response, ["operation", "state", "version"], [[operation_id, state, version]])
    if state == "unknown":
        sys.exit(ExitCode.OUTCOME_UNKNOWN)


@click.command("explain")
@click.argument("method")
@click.argument("path")
@click.option("--host", default="")
@click.option("--header", "headers", multiple=True, metavar="NAME=VALUE")
@click.option("--subscriber", default="")
@click.pass_obj
def explain(
    session: Session, method: str, path: str, host: str, headers: tuple[str, ...], subscriber: str
) -> None:
    """Show where a call would be sent and why.

    Example: corianderwall ctl explain GET /shifts --subscriber growers
    """
    pairs = parse_pairs(headers, "--header")
    request = pb.ExplainRequest(
        method=method,
        host=host,
        path=path,
        headers=[pb.HeaderMatch(name=name.lower(), value=value) for name, value in pairs],
        subscriber=subscriber,
    )
    response = session.call("Explain", request, pb.Explanation)
    if session.output == "json":
        click.echo(convert_to_json(response))
        return
    for number, reason in enumerate(response.reasons, start=1):
        click.echo(f"{number}. {reason}")
    if response.refusal_code:
        click.echo(f"refused with {response.refusal_code}")
    else:
        click.echo(f"goes to {response.endpoint} ({response.service} {response.version})")
