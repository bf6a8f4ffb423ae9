import random
from dataclasses import replace

import pytest

from corianderwall.model.resource import MoveState
from corianderwall.moves.cut import MAX_EARLY_CUTS, CutBook
from corianderwall.moves.judgement import Judgement, Verdict

BAD = Judgement(verdict=Verdict.BAD, cause="failures", evidence="9 of 9")
NODES = [f"n{index}" for index in range(590)]


@pytest.fixture
def create_book(move):
    def create(name="n0", knows_move=True):
        book = CutBook(name, random.Random(name))
        if knows_move:
            book.update([move])
        return book

    return create


def test_a_cut_is_learnt_once_and_never_undone_while_the_move_runs(create_book, move):
    book = create_book()
    cut = book.take_judgement("m1", BAD, 5)
    assert cut is not None
    assert not book.take_cut(replace_node(cut, "n9"))
    book.update([replace(move, step=4, share_permille=1000)])
    book.take_judgement("m1", Judgement(verdict=Verdict.GOOD), 6)
    assert book.find_cut("m1") == cut


def replace_node(cut, node):
    return type(cut)(
        **{field: getattr(cut, field) for field in cut.__struct_fields__} | {"node": node}
    )


def test_a_cut_that_outruns_the_snapshot_holds_once_the_move_is_seen(create_book, move):
    cut = create_book().take_judgement("m1", BAD, 5)
    late = create_book("n1", knows_move=False)
    late.take_cut(cut)
    assert not late.is_cut("m1")
    late.update([move])
    assert late.is_cut("m1")


def test_cuts_of_unknown_moves_are_bounded(create_book, move):
    cut = create_book().take_judgement("m1", BAD, 5)
    book = create_book("n1", knows_move=False)
    fields = {name: getattr(cut, name) for name in cut.__struct_fields__}
    for index in range(MAX_EARLY_CUTS + 50):
        book.take_cut(type(cut)(**fields | {"move_id": f"m{index:03d}"}))
    moves = [replace(move, id=f"m{index:03d}") for index in range(MAX_EARLY_CUTS + 50)]
    book.update(moves)
    assert sum(book.is_cut(each.id) for each in moves) == MAX_EARLY_CUTS


def test_the_committed_end_takes_the_place_of_the_cut(create_book, move):
    book = create_book()
    book.take_judgement("m1", BAD, 5)
    book.update([replace(move, state=MoveState.TAKEN_BACK)])
    assert not book.remind(NODES)


def test_a_cut_of_another_version_is_not_taken(create_book):
    cut = create_book().take_judgement("m1", BAD, 5)
    fields = {name: getattr(cut, name) for name in cut.__struct_fields__}
    assert not create_book("n1").take_cut(type(cut)(**fields | {"version": "v1"}))


def test_a_cut_reaches_every_node_within_seconds_although_messages_are_lost(create_book):
    rng = random.Random(4)
    books = {name: create_book(name) for name in NODES}
    cut = books["n0"].take_judgement("m1", BAD, 5)
    wave = books["n0"].spread(cut, NODES)
    hops, sent = 0, len(wave)
    while wave:
        hops += 1
        following = []
        for outgoing in wave:
            if rng.random() < 0.1:
                continue
            if books[outgoing.peer].take_cut(outgoing.message):
                following.extend(books[outgoing.peer].spread(outgoing.message, NODES))
        wave = following
        sent += len(wave)
    assert sum(book.is_cut("m1") for book in books.values()) > 0.97 * len(NODES)
    assert hops <= 8
    for _ in range(3):
        for outgoing in [each for book in books.values() for each in book.remind(NODES)]:
            books[outgoing.peer].take_cut(outgoing.message)
    assert all(book.is_cut("m1") for book in books.values())


def test_ejected_endpoints_only_grow(create_book):
    def judge(*names):
        return Judgement(verdict=Verdict.BAD_ENDPOINTS, bad_endpoints=names, evidence="e")

    book = create_book()
    first = book.take_judgement("m1", judge("e1"), 5)
    second = book.take_judgement("m1", judge("e2"), 6)
    other = create_book("n1")
    assert [other.take_ejection(each) for each in (second, first, second)] == [True, True, False]
    assert other.list_ejected("m1") == book.list_ejected("m1") == {"e1", "e2"}
