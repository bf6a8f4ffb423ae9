"""The command that checks a configuration before it is sent; it calls no node."""

import sys
from typing import BinaryIO

import click

from corianderwall.ctl.checkreport import EXIT_UNUSABLE, run_check
from corianderwall.ctl.output import JSON
from corianderwall.ctl.session import Session
from corianderwall.model.codec import parse_snapshot


@click.command("check-config")
@click.argument("file", type=click.File("rb"), default="-")
@click.option("--in-force", type=click.File("rb"), help="The version in force, to compare with.")
@click.option(
    "--endpoints",
    multiple=True,
    metavar="SERVICE=COUNT",
    help="Endpoints of a service; quotas are checked if all services have a count.",
)
@click.pass_obj
def check_config(
    session: Session, file: BinaryIO, in_force: BinaryIO | None, endpoints: tuple[str, ...]
) -> None:
    """Check the snapshot in FILE, or on standard input; exit 1 on findings, 2 if it is unusable.

    Example: corianderwall ctl check-config next.json --in-force current.json
    """
    result = run_check(
        parse_snapshot,
        file.read(),
        in_force.read() if in_force is not None else None,
        versioned=True,
        endpoints=endpoints,
        as_json=session.output == JSON,
    )
    click.echo(result.text, err=result.exit_code == EXIT_UNUSABLE)
    sys.exit(result.exit_code)
