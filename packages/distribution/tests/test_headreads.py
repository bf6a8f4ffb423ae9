from corianderwall.distribution.headreads import HeadReads
from corianderwall.distribution.messages import HeadAnswer
from corianderwall.model.message import OutgoingMessage


def test_a_read_that_was_sent_before_the_request_does_not_answer_it() -> None:
    reads = HeadReads(5.0)
    reads.add("early", 1, 10.0)
    reads.add("late", 2, 11.0)
    assert reads.answer(7, asked_at=10.5) == [OutgoingMessage("early", HeadAnswer(1, 7))]
    assert reads.answer(7, asked_at=11.0) == [OutgoingMessage("late", HeadAnswer(2, 7))]


def test_one_read_answers_many_requests() -> None:
    reads = HeadReads(5.0)
    for index in range(100):
        reads.add(f"host-{index}", index, 10.0)
    assert reads.is_read_due(10.0)
    assert not reads.is_read_due(10.1)
    assert len(reads.answer(7, asked_at=10.0)) == 100
    assert not reads.is_read_due(11.0)


def test_requests_lapse() -> None:
    reads = HeadReads(5.0)
    reads.add("host", 1, 10.0)
    assert not reads.is_read_due(16.0)
