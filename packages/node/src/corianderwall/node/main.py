"""The commands that run a node, check its settings and generate its keys."""

import sys

import click

from corianderwall.httpflow.reactor import install_reactor
from corianderwall.links.keys import generate_key_ring
from corianderwall.model.settings import SettingsError
from corianderwall.node.settings import NodeSettings, load_node_settings

EXIT_INVALID_SETTINGS = 2


@click.command()
@click.argument("settings", type=click.Path(dir_okay=False))
def node(settings: str) -> None:
    """Run the node described by the file SETTINGS until SIGTERM.

    The first SIGTERM or SIGINT stops gracefully: running calls end first. A second one stops at
    once and logs what it cut.

    Example: corianderwall node /etc/corianderwall/node.toml
    """
    checked = read_settings_or_exit(settings)
    install_reactor()
    # The session imports the reactor, so the reactor must be installed first.
    from corianderwall.node.session import run_node

    sys.exit(run_node(checked))


@click.command()
@click.argument("settings", type=click.Path(dir_okay=False))
def check(settings: str) -> None:
    """Check the file SETTINGS and report every problem in it.

    Example: corianderwall check /etc/corianderwall/node.toml
    """
    read_settings_or_exit(settings)
    click.echo(f"{settings}: the settings are valid")


@click.command()
def keys() -> None:
    """Print a new pair of keys for the links between nodes, as lines for the settings file."""
    ring = generate_key_ring()
    click.echo("[mesh]")
    click.echo(f'public_key = "{ring.public}"')
    click.echo(f'secret_key = "{ring.secret}"')


def read_settings_or_exit(path: str) -> NodeSettings:
    """Return the checked settings, or print every problem and exit with code 2."""
    try:
        return load_node_settings(path)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(problem.describe(path), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
