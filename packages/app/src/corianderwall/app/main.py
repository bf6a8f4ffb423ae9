"""The corianderwall command: a node, the operators' client and the demo."""

import click

from corianderwall.app.command import demo
from corianderwall.ctl.main import ctl
from corianderwall.node.main import check, keys, node


@click.group()
@click.version_option("0.1.0", prog_name="corianderwall")
def main() -> None:
    """Distribute the configuration of a service mesh and carry its calls."""


main.add_command(node)
main.add_command(check)
main.add_command(keys)
main.add_command(demo)
main.add_command(ctl)

if __name__ == "__main__":
    main()
