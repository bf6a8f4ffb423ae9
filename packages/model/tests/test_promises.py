import pytest

from corianderwall.model.promises import choose_status
from corianderwall.model.verdict import Verdict

RUN_UNKNOWN = (Verdict.RAN, Verdict.MAY_HAVE_RUN)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("verdict", Verdict)
@pytest.mark.parametrize("idempotent", [True, False])
def test_only_a_request_that_has_not_run_or_may_run_again_gets_a_promise(
    status, verdict, idempotent
):
    kept = idempotent or verdict not in RUN_UNKNOWN
    assert choose_status(status, verdict, idempotent=idempotent) == (status if kept else 502)


@pytest.mark.parametrize("status", [200, 204, 206, 301, 400, 401, 404, 409, 413, 425, 431])
@pytest.mark.parametrize("verdict", Verdict)
def test_a_status_that_promises_nothing_is_never_replaced(status, verdict):
    assert choose_status(status, verdict) == status


@pytest.mark.parametrize("status", [500, 501, 502, 504, 505, 507, 599])
@pytest.mark.parametrize("verdict", Verdict)
def test_a_failure_that_promises_nothing_is_never_replaced(status, verdict):
    assert choose_status(status, verdict) == status


@pytest.mark.parametrize("verdict", RUN_UNKNOWN)
def test_a_status_of_the_node_itself_is_true_for_requests_that_may_run_again_too(verdict):
    assert choose_status(503, verdict) == 502
