"""Run a stand-in as a process: `python -m corianderwall.standins NAME`."""

import click

from corianderwall.standins.platform_command import platform
from corianderwall.standins.upstream_command import upstream


@click.group()
def main() -> None:
    """Stand-ins for the platform and for upstreams."""


main.add_command(upstream)
main.add_command(platform)

if __name__ == "__main__":
    main()
