from corianderwall.mesh.bodymemory import BodyMemory


def test_bodies_beyond_the_capacity_are_not_admitted_until_others_end() -> None:
    memory = BodyMemory(100)
    assert memory.reserve(60)
    assert not memory.reserve(41)
    assert memory.reserve(40)
    memory.release(60)
    assert memory.reserve(60)


def test_a_body_larger_than_the_capacity_is_admitted_alone() -> None:
    memory = BodyMemory(100)
    assert memory.reserve(200)
    assert not memory.reserve(1)
