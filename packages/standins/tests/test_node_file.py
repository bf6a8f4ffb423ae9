import subprocess
import sys
from random import Random

import pytest

from corianderwall.standins import node_file
from corianderwall.standins.node_file import find_free_addresses

FIND_TWO = """
from random import Random
from corianderwall.standins import node_file
node_file._random = Random(1)
print(*(address.port for address in node_file.find_free_addresses(2)))
"""


def test_no_two_nodes_of_a_run_get_the_same_port(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against nodes that cannot start, as one port was given to two of them."""
    found = []
    for _ in range(3):
        monkeypatch.setattr(node_file, "_random", Random(0))
        found += find_free_addresses(2)
    assert len({address.port for address in found}) == 6


def test_no_two_runs_side_by_side_get_the_same_port(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_file, "_random", Random(1))
    own = {address.port for address in find_free_addresses(2)}
    command = [sys.executable, "-c", FIND_TWO]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert own.isdisjoint(int(port) for port in output.split())
