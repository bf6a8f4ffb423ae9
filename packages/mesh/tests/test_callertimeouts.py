import math

from corianderwall.mesh.callertimeouts import CallerTimeouts


def test_a_shorter_timeout_shows_the_time_already_spent() -> None:
    timeouts = CallerTimeouts()
    assert timeouts.estimate_elapsed_s("r", 2.5) == 0.0
    assert timeouts.estimate_elapsed_s("r", 1.5) == 1.0
    assert timeouts.estimate_elapsed_s("other", 1.5) == 0.0


def test_a_caller_without_a_deadline_is_ignored() -> None:
    timeouts = CallerTimeouts()
    assert timeouts.estimate_elapsed_s("r", math.inf) == 0.0
    assert timeouts.estimate_elapsed_s("r", 2.0) == 0.0
