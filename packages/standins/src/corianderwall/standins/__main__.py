"""Runs a stand-in as a process: `python -m corianderwall.standins NAME`."""

import click

from corianderwall.standins.upstream_command import upstream


@click.group()
def main() -> None:
    """Stand-ins of the platform and of upstreams."""


main.add_command(upstream)

if __name__ == "__main__":
    main()
