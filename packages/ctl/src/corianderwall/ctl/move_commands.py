"""Commands that start, show, watch and cancel moves."""

import re
import sys
import time
from datetime import UTC, datetime

import click

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.failures import ExitCode
from corianderwall.ctl.output import JSON, convert_to_json, format_time
from corianderwall.ctl.session import Session

POLL_INTERVAL_S = 1.0
_SPAN = re.compile(r"(\d+)([smh])")
_UNIT_S = {"s": 1, "m": 60, "h": 3600}
_STATES = {
    pb.MOVE_STATE_RUNNING: "running",
    pb.MOVE_STATE_COMPLETED: "completed",
    pb.MOVE_STATE_TAKEN_BACK: "taken back",
}
_COLUMNS = ["move", "service", "from", "to", "state", "permille", "deadline", "cause", "evidence"]


def parse_deadline(within: str | None, by: str | None, now: float) -> int:
    """Return the deadline in Unix milliseconds, given as either a time span or an instant."""
    if (within is None) == (by is None):
        raise click.UsageError("give exactly one of --within and --by")
    if within is not None:
        match = _SPAN.fullmatch(within)
        if match is None:
            raise click.BadParameter("a span is like 90s, 30m or 2h", param_hint="--within")
        return int((now + int(match[1]) * _UNIT_S[match[2]]) * 1000)
    try:
        instant = datetime.fromisoformat(by or "")
    except ValueError as error:
        raise click.BadParameter(
            "an instant is like 2030-01-31T18:00Z", param_hint="--by"
        ) from error
    return int(instant.replace(tzinfo=instant.tzinfo or UTC).timestamp() * 1000)


def _build_row(message: pb.Move) -> list[object]:
    return [
        message.id,
        message.service,
        message.from_version,
        message.to_version,
        _STATES.get(message.state, "unknown"),
        message.share_permille,
        format_time(message.deadline_unix_ms),
        message.cause or "-",
        message.evidence or "-",
    ]


@click.group()
def move() -> None:
    """Moves, which shift a service's calls to another version by a deadline."""


@move.command("start")
@click.argument("service")
@click.argument("to_version")
@click.option("--within", default=None, metavar="SPAN", help="Like 90s, 30m or 2h.")
@click.option("--by", default=None, metavar="INSTANT", help="ISO 8601, UTC if it has no zone.")
@click.option("--id", "move_id", default="", help="The operation id if absent.")
@click.option("--step", "steps", multiple=True, type=click.IntRange(1, 1000), help="Permille.")
@click.option(
    "--caution", type=click.FloatRange(0, 1), default=None, help="1 favours rolling back."
)
@click.option("--min-calls-per-step", type=click.IntRange(1), default=None)
@click.option("--tolerated-error-permille", type=click.IntRange(0, 1000), default=None)
@click.option("--tolerated-slowdown-percent", type=click.IntRange(0), default=None)
@click.pass_obj
def start_move(
    session: Session,
    service: str,
    to_version: str,
    within: str | None,
    by: str | None,
    move_id: str,
    steps: tuple[int, ...],
    caution: float | None,
    min_calls_per_step: int | None,
    tolerated_error_permille: int | None,
    tolerated_slowdown_percent: int | None,
) -> None:
    """Start a move.

    Example: corianderwall ctl move start placements v2 --within 30m --id spring
    """
    policy = pb.MovePolicy(
        steps_permille=steps,
        caution=caution,
        min_calls_per_step=min_calls_per_step,
        tolerated_error_permille=tolerated_error_permille,
        tolerated_slowdown_percent=tolerated_slowdown_percent,
    )
    request = pb.StartMoveRequest(
        move_id=move_id,
        service=service,
        to_version=to_version,
        deadline_unix_ms=parse_deadline(within, by, time.time()),
        policy=policy,
    )
    session.change("StartMove", request)


@move.command("status")
@click.argument("move_id")
@click.pass_obj
def show_move(session: Session, move_id: str) -> None:
    """Show one move.

    Example: corianderwall ctl move status spring
    """
    message = session.call("GetMove", pb.GetMoveRequest(move_id=move_id), pb.Move)
    session.show(message, _COLUMNS, [_build_row(message)])


@move.command("list")
@click.pass_obj
def list_moves(session: Session) -> None:
    """List the newest move of each service.

    Example: corianderwall ctl move list
    """
    message = session.call("ListMoves", pb.ListMovesRequest(), pb.MoveList)
    session.show(message, _COLUMNS, [_build_row(each) for each in message.moves])


@move.command("watch")
@click.argument("move_id")
@click.option("--for", "span_s", type=click.FloatRange(0), default=3600, show_default=True)
@click.pass_obj
def watch_move(session: Session, move_id: str, span_s: float) -> None:
    """Print each change of a move until it ends; exit 0 if completed, 10 if rolled back.

    Example: corianderwall ctl move watch spring --for 1800
    """
    request = pb.GetMoveRequest(move_id=move_id)
    moves = session.poll("GetMove", request, pb.Move, span_s=span_s, pause_s=POLL_INTERVAL_S)
    previous = None
    for message in moves:
        if message != previous:
            _print_progress(session, message)
        previous = message
        if message.state == pb.MOVE_STATE_COMPLETED:
            return
        if message.state == pb.MOVE_STATE_TAKEN_BACK:
            sys.exit(ExitCode.TAKEN_BACK)
    sys.exit(ExitCode.NOT_REACHED)


def _print_progress(session: Session, message: pb.Move) -> None:
    if session.output == JSON:
        click.echo(convert_to_json(message))
        return
    state = _STATES.get(message.state, "unknown")
    click.echo(f"{message.id}: {state}, {message.share_permille} permille at {message.to_version}")
    if message.cause:
        click.echo(f"{message.id}: {message.cause}: {message.evidence}")


@move.command("cancel")
@click.argument("move_id")
@click.option("--reason", default="", help="Stored in the move and the audit trail.")
@click.pass_obj
def cancel_move(session: Session, move_id: str, reason: str) -> None:
    """Roll back a running move.

    Example: corianderwall ctl move cancel spring --reason "wrong build"
    """
    session.change("CancelMove", pb.CancelMoveRequest(move_id=move_id, reason=reason))
