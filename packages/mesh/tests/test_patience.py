import math

from corianderwall.mesh.patience import PatienceMemory


def test_a_caller_that_comes_back_has_used_what_is_missing() -> None:
    memory = PatienceMemory()
    assert memory.read_used_s("r", 2.5) == 0.0
    assert memory.read_used_s("r", 1.5) == 1.0
    assert memory.read_used_s("other", 1.5) == 0.0


def test_a_caller_without_a_deadline_tells_nothing() -> None:
    memory = PatienceMemory()
    assert memory.read_used_s("r", math.inf) == 0.0
    assert memory.read_used_s("r", 2.0) == 0.0
