from corianderwall.traffic.draining import DRAIN_PROPAGATION_S, DrainState, EndpointDrain


def test_a_drain_waits_for_propagation_running_calls_and_leases() -> None:
    drain = EndpointDrain()
    assert drain.accepts_work
    assert drain.read_state(0, 0, 0.0) is DrainState.SERVING
    drain.begin(10.0, 60.0)
    assert not drain.accepts_work
    assert drain.read_state(0, 0, 10.0) is DrainState.DRAINING
    late = 10.0 + DRAIN_PROPAGATION_S
    assert drain.read_state(1, 0, late) is DrainState.DRAINING
    assert drain.read_state(0, 1, late) is DrainState.DRAINING
    assert drain.read_state(0, 0, late) is DrainState.DRAINED


def test_a_drain_ends_at_its_deadline_and_cannot_be_extended() -> None:
    drain = EndpointDrain()
    drain.begin(10.0, 20.0)
    drain.begin(15.0, 90.0)
    assert drain.read_state(1, 1, 20.0) is DrainState.DRAINED
