"""Runs a case and turns its outcome into the exit status."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.mesh import CaseError, Mesh
from harness.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIMEOUT_S = 110.0

Play = Callable[[Mesh, bool], Awaitable[list[str]]]


def run_case(folder: Path, make_mesh: Callable[[Record], Mesh], play: Play) -> None:
    """Play a case, print what breaks the rule, and exit; TROUBLE=0 leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    try:
        findings = asyncio.run(_play(record, make_mesh, play, trouble=trouble))
    except (CaseError, TimeoutError, OSError):
        traceback.print_exc()
        record.close()
        sys.exit(NOT_RUN)
    for finding in findings:
        record.write("rule broken", finding=finding)
        sys.stdout.write(f"{finding}\n")
    sys.stdout.write("the rule was broken\n" if findings else "the rule held\n")
    record.close()
    sys.exit(BROKEN if findings else HELD)


async def _play(
    record: Record, make_mesh: Callable[[Record], Mesh], play: Play, *, trouble: bool
) -> list[str]:
    mesh = make_mesh(record)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await play(mesh, trouble)
    finally:
        mesh.close()
