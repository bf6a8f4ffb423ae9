import itertools

from corianderwall.mesh.evacuations import HOLD_S, Evacuations
from corianderwall.mesh.messages import EvacuationState


def make_state(era: int, revision: int, *zones: str) -> EvacuationState:
    return EvacuationState(era=era, revision=revision, zones=zones)


def merge_all(*states: EvacuationState) -> Evacuations:
    register = Evacuations()
    for state in states:
        register.merge(state, 0.0)
    return register


# Guards against nodes that disagree for good after messages of two changes have overtaken each
# other: two zones are evacuated at once and one of them is taken back.
def test_states_of_an_era_have_the_same_result_in_any_order() -> None:
    states = (make_state(1, 5, "a"), make_state(1, 6, "a", "b"), make_state(1, 9, "b"))
    for order in itertools.permutations(states):
        assert merge_all(*order, states[0]).list_closed(0.0) == {"b"}


def test_a_newer_revision_with_the_same_zones_is_adopted_without_a_report() -> None:
    register = merge_all(make_state(1, 5))
    assert not register.merge(make_state(1, 8), 0.0)
    assert not register.merge(make_state(1, 7, "a"), 0.0)
    assert register.list_closed(0.0) == frozenset()


# Guards against calls to a zone whose evacuation is missing in the store's older copy until its
# operator has written it again.
def test_a_zone_that_an_older_store_lacks_stays_closed_for_a_while() -> None:
    register = merge_all(make_state(1, 9, "a"))
    assert register.merge(make_state(2, 4), 10.0)
    assert register.list_closed(10.0 + HOLD_S - 0.1) == {"a"}
    assert register.list_closed(10.0 + HOLD_S) == frozenset()
    assert not register.merge(make_state(1, 20, "b"), 20.0)


def test_a_hold_ends_once_the_new_era_has_ended_the_evacuation() -> None:
    register = merge_all(make_state(1, 9, "a"), make_state(2, 4))
    register.merge(make_state(2, 5, "a"), 1.0)
    register.merge(make_state(2, 6), 2.0)
    assert register.list_closed(2.0) == frozenset()


# Guards against calls from a process that starts in these seconds and knows the new era only.
def test_a_held_zone_is_told_to_a_node_that_starts_with_the_time_that_is_left() -> None:
    register = merge_all(make_state(1, 9, "a"), make_state(2, 4))
    newcomer = Evacuations()
    newcomer.merge(register.make_state(3.0), 103.0)
    assert newcomer.list_closed(104.9) == {"a"}
    assert newcomer.list_closed(105.1) == frozenset()
    # An ordinary write moves the revision; the hold outlasts it.
    newcomer.merge(make_state(2, 5), 104.0)
    assert newcomer.list_closed(104.9) == {"a"}
