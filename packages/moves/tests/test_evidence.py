import pytest

from corianderwall.moves.evidence import MAX_PLACES, MAX_ROUTES, OTHERS, CellKey, MoveEvidence

ZONES = {"old-1": "z1", "new-1": "z1"}


@pytest.fixture
def evidence(move):
    return MoveEvidence(move, ZONES)


def test_the_old_version_is_kept_by_zone_and_the_new_by_endpoint(evidence, create_outcome):
    evidence.record(create_outcome())
    evidence.record(create_outcome(version="v2", endpoint="new-1", outstanding=5))
    assert set(evidence.cells) == {
        CellKey(False, "accept", "z1", 0),
        CellKey(True, "accept", "new-1", 2),
    }


def test_refused_and_cancelled_calls_are_not_failures(evidence, create_outcome):
    evidence.record(create_outcome(version="v2", endpoint="new-1", status=503, refused=True))
    evidence.record(create_outcome(version="v2", endpoint="new-1", status=0, cancelled=True))
    (cell,) = evidence.cells.values()
    assert (cell.calls, cell.failures, cell.refusals) == (0, 0, 1)


def test_calls_of_other_versions_and_ejected_endpoints_do_not_count(evidence, create_outcome):
    evidence.ejected = frozenset({"new-1"})
    evidence.record(create_outcome(version="v2", endpoint="new-1"))
    evidence.record(create_outcome(version="v0"))
    assert not evidence.cells


def test_the_latency_of_a_warming_endpoint_does_not_count_but_its_failure_does(
    evidence, create_outcome
):
    evidence.warming = frozenset({"new-1"})
    evidence.record(create_outcome(version="v2", endpoint="new-1", latency_s=3))
    evidence.record(create_outcome(version="v2", endpoint="new-1", status=500))
    (cell,) = evidence.cells.values()
    assert (cell.calls, cell.failures, sum(cell.buckets)) == (2, 1, 0)


def test_a_subscriber_that_fails_at_the_old_version_is_no_evidence_against_the_new(
    evidence, create_outcome
):
    for _ in range(8):
        evidence.record(create_outcome(status=500, subscriber="wrong"))
    for _ in range(50):
        evidence.record(
            create_outcome(version="v2", endpoint="new-1", status=500, subscriber="wrong")
        )
    assert sum(cell.failures for key, cell in evidence.cells.items() if key.is_new) == 0


def test_a_subscriber_that_fails_at_the_new_version_only_is_evidence(evidence, create_outcome):
    for _ in range(8):
        evidence.record(create_outcome(subscriber="unlucky"))
        evidence.record(
            create_outcome(version="v2", endpoint="new-1", status=500, subscriber="unlucky")
        )
    assert sum(cell.failures for key, cell in evidence.cells.items() if key.is_new) == 8


def test_the_number_of_cells_is_bounded(evidence, create_outcome):
    for index in range(500):
        evidence.record(
            create_outcome(version="v2", route=f"r{index}", endpoint=f"e{index}", status=200)
        )
    assert len({key.route for key in evidence.cells} - {OTHERS}) == MAX_ROUTES
    assert len({key.place for key in evidence.cells} - {OTHERS}) == MAX_PLACES
    assert sum(cell.calls for cell in evidence.cells.values()) == 500
