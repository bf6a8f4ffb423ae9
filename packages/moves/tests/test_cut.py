import random
from dataclasses import replace

import pytest

from corianderwall.model.resource import MoveState
from corianderwall.moves.cut import MAX_EARLY_CUTS, CutRegistry
from corianderwall.moves.judgement import Judgement, Verdict

BAD = Judgement(verdict=Verdict.BAD, cause="failures", evidence="9 of 9")
NODES = [f"n{index}" for index in range(590)]


@pytest.fixture
def create_registry(move):
    def create(name="n0", knows_move=True):
        registry = CutRegistry(name, random.Random(name))
        if knows_move:
            registry.update([move])
        return registry

    return create


def test_a_cut_is_stored_once_and_never_revoked_while_the_move_runs(create_registry, move):
    registry = create_registry()
    cut = registry.apply_judgement("m1", BAD, 5)
    assert cut is not None
    assert not registry.add_cut(replace_node(cut, "n9"))
    registry.update([replace(move, step=4, share_permille=1000)])
    registry.apply_judgement("m1", Judgement(verdict=Verdict.GOOD), 6)
    assert registry.find_cut("m1") == cut


def replace_node(cut, node):
    return type(cut)(
        **{field: getattr(cut, field) for field in cut.__struct_fields__} | {"node": node}
    )


def test_a_cut_received_before_its_move_applies_once_the_move_is_known(create_registry, move):
    cut = create_registry().apply_judgement("m1", BAD, 5)
    late = create_registry("n1", knows_move=False)
    late.add_cut(cut)
    assert not late.is_cut("m1")
    late.update([move])
    assert late.is_cut("m1")


def test_cuts_of_unknown_moves_are_bounded(create_registry, move):
    cut = create_registry().apply_judgement("m1", BAD, 5)
    registry = create_registry("n1", knows_move=False)
    fields = {name: getattr(cut, name) for name in cut.__struct_fields__}
    for index in range(MAX_EARLY_CUTS + 50):
        registry.add_cut(type(cut)(**fields | {"move_id": f"m{index:03d}"}))
    moves = [replace(move, id=f"m{index:03d}") for index in range(MAX_EARLY_CUTS + 50)]
    registry.update(moves)
    assert sum(registry.is_cut(each.id) for each in moves) == MAX_EARLY_CUTS


def test_the_committed_end_of_a_move_removes_its_cut(create_registry, move):
    registry = create_registry()
    registry.apply_judgement("m1", BAD, 5)
    registry.update([replace(move, state=MoveState.TAKEN_BACK)])
    assert not registry.resend(NODES)


def test_a_cut_of_another_version_is_ignored(create_registry):
    cut = create_registry().apply_judgement("m1", BAD, 5)
    fields = {name: getattr(cut, name) for name in cut.__struct_fields__}
    assert not create_registry("n1").add_cut(type(cut)(**fields | {"version": "v1"}))


def test_a_cut_reaches_every_node_within_seconds_although_messages_are_lost(create_registry):
    rng = random.Random(4)
    registries = {name: create_registry(name) for name in NODES}
    cut = registries["n0"].apply_judgement("m1", BAD, 5)
    wave = registries["n0"].forward(cut, NODES)
    hops, sent = 0, len(wave)
    while wave:
        hops += 1
        following = []
        for outgoing in wave:
            if rng.random() < 0.1:
                continue
            if registries[outgoing.peer].add_cut(outgoing.message):
                following.extend(registries[outgoing.peer].forward(outgoing.message, NODES))
        wave = following
        sent += len(wave)
    assert sum(registry.is_cut("m1") for registry in registries.values()) > 0.97 * len(NODES)
    assert hops <= 8
    for _ in range(3):
        for outgoing in [
            each for registry in registries.values() for each in registry.resend(NODES)
        ]:
            registries[outgoing.peer].add_cut(outgoing.message)
    assert all(registry.is_cut("m1") for registry in registries.values())


def test_ejected_endpoints_only_grow(create_registry):
    def judge(*names):
        return Judgement(verdict=Verdict.BAD_ENDPOINTS, bad_endpoints=names, evidence="e")

    registry = create_registry()
    first = registry.apply_judgement("m1", judge("e1"), 5)
    second = registry.apply_judgement("m1", judge("e2"), 6)
    other = create_registry("n1")
    assert [other.add_ejection(each) for each in (second, first, second)] == [True, True, False]
    assert other.list_ejected("m1") == registry.list_ejected("m1") == {"e1", "e2"}
