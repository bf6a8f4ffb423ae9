from corianderwall.mesh.retrybudget import RetryBudget


def make_budget(slack: int = 0) -> RetryBudget:
    return RetryBudget(ratio=0.2, slack=slack, window_s=10.0)


def test_without_requests_and_slack_nothing_is_retried() -> None:
    assert not make_budget().take("s", 0.0, nodes=1)


def test_all_nodes_together_stay_within_the_fleet_s_budget() -> None:
    nodes, requests, slack = 12, 100, 56
    allowed = 0
    for _ in range(nodes):
        budget = make_budget(slack)
        for _ in range(requests):
            budget.count_request("s", 1.0)
        allowed += sum(budget.take("s", 2.0, nodes) for _ in range(1000))
    assert 0 < allowed <= 0.2 * requests * nodes + slack


def test_the_window_slides() -> None:
    budget = make_budget()
    for _ in range(100):
        budget.count_request("s", 0.0)
    assert budget.take("s", 9.0, nodes=1)
    assert not budget.take("s", 10.5, nodes=1)


def test_services_do_not_share_a_budget() -> None:
    budget = make_budget()
    for _ in range(100):
        budget.count_request("a", 0.0)
    assert not budget.take("b", 0.0, nodes=1)


def test_nested_calls_of_retried_calls_reduce_the_budget() -> None:
    """Load pattern: all endpoints of a service shed half of the nested calls of another one."""
    budget = make_budget()
    for _ in range(100):
        budget.count_request("s", 0.0)
    for _ in range(10):
        budget.charge("s", 0.0)
    own = sum(budget.take("s", 1.0, nodes=1) for _ in range(100))
    assert 10 + own <= 0.2 * 100


def test_asking_for_room_takes_none() -> None:
    """Guards against calls that are charged for a retry that is not made."""
    budget = make_budget(slack=2)
    assert all(budget.has_room("s", 0.0, 1) for _ in range(5))
    assert budget.take("s", 0.0, 1)
    assert not budget.has_room("s", 0.0, 1)
