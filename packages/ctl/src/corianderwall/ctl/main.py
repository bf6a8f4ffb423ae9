"""The operators' command-line client."""

import os
from pathlib import Path

import click
from click.shell_completion import get_completion_class

from corianderwall.ctl.check_command import check_config
from corianderwall.ctl.fleet_commands import audit, config, explain, node, operation
from corianderwall.ctl.move_commands import move
from corianderwall.ctl.output import JSON, TABLE
from corianderwall.ctl.request_log import explain_request
from corianderwall.ctl.resource_commands import route, service, subscriber, version
from corianderwall.ctl.session import Session

NODES_VARIABLE = "CORIANDERWALL_NODES"
TOKEN_VARIABLE = "CORIANDERWALL_TOKEN"


@click.group()
@click.option(
    "--node",
    "nodes",
    multiple=True,
    envvar=NODES_VARIABLE,
    metavar="HOST:PORT",
    help="Admin address of a node; if several are given, they are tried in order.",
)
@click.option(
    "--token-file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help=f"File with the operator's token; {TOKEN_VARIABLE} is used if absent.",
)
@click.option("--output", type=click.Choice([TABLE, JSON]), default=TABLE, show_default=True)
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(0.1),
    default=15.0,
    show_default=True,
    help="Seconds after which a call fails, retries on all nodes included.",
)
@click.option("--operation-id", default="", help="Id of an earlier change to send again.")
@click.pass_context
def ctl(
    context: click.Context,
    nodes: tuple[str, ...],
    token_file: Path | None,
    output: str,
    timeout_s: float,
    operation_id: str,
) -> None:
    """Change and inspect the configuration through any node.

    \b
    Examples:
      corianderwall ctl --node 127.0.0.1:7003 service put placements --version v1
      corianderwall ctl route put accept --service placements --path-prefix /accept
      corianderwall ctl config wait
      corianderwall ctl move start placements v2 --within 30m --id spring
    """
    context.obj = Session(
        nodes=nodes,
        token=_read_token(token_file),
        timeout_s=timeout_s,
        output=output,
        operation_id=operation_id,
    )


def _read_token(token_file: Path | None) -> str:
    if token_file is not None:
        return token_file.read_text().strip()
    return os.environ.get(TOKEN_VARIABLE, "")


@ctl.command("completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script for a shell.

    Example: source <(corianderwall ctl completion bash)
    """
    root = context.find_root()
    program = root.info_name or "corianderwall"
    variable = f"_{program}_COMPLETE".replace("-", "_").upper()
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"there is no completion for {shell}")
    click.echo(completion_class(root.command, {}, program, variable).source())


_COMMANDS: tuple[click.Command, ...] = (
    service,
    version,
    route,
    subscriber,
    move,
    node,
    config,
    audit,
    operation,
    explain,
    explain_request,
    check_config,
)
for _command in _COMMANDS:
    ctl.add_command(_command)
