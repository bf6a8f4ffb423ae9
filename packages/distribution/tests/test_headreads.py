from corianderwall.distribution.headreads import PendingHeadRequests
from corianderwall.distribution.messages import HeadResponse
from corianderwall.model.message import OutgoingMessage


def test_a_read_sent_before_the_request_does_not_serve_it() -> None:
    requests = PendingHeadRequests(5.0)
    requests.add("early", 1, 10.0)
    requests.add("late", 2, 11.0)
    assert requests.respond(7, asked_at=10.5) == [OutgoingMessage("early", HeadResponse(1, 7))]
    assert requests.respond(7, asked_at=11.0) == [OutgoingMessage("late", HeadResponse(2, 7))]


def test_one_read_serves_many_requests() -> None:
    requests = PendingHeadRequests(5.0)
    for index in range(100):
        requests.add(f"host-{index}", index, 10.0)
    assert requests.is_read_due(10.0)
    assert not requests.is_read_due(10.1)
    assert len(requests.respond(7, asked_at=10.0)) == 100
    assert not requests.is_read_due(11.0)


def test_requests_expire() -> None:
    requests = PendingHeadRequests(5.0)
    requests.add("host", 1, 10.0)
    assert not requests.is_read_due(16.0)
