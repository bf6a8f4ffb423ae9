import pytest
import pytest_twisted
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from corianderwall.node.serviceload import (
    RESPONSE_WAIT_S,
    LoadMeter,
    LoadResponse,
    LoadSurvey,
    ServiceLoad,
)

OWN = ServiceLoad(10.0, 1.0)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def survey(sent, clock):
    return LoadSurvey(node="me", reactor=clock, send=sent.extend)


@pytest_twisted.ensureDeferred
async def test_each_owner_counts_once(survey, sent):
    load = Deferred.fromCoroutine(survey.measure(["me", "a", "b", "a"], OWN))
    assert [outgoing.peer for outgoing in sent] == ["a", "b"]
    nonce = sent[0].message.nonce
    for peer in ("a", "a", "stranger", "b"):
        survey.take_response(peer, LoadResponse(nonce, 5.0, 0.5))
    assert await load == ServiceLoad(20.0, 2.0)


@pytest_twisted.ensureDeferred
async def test_an_owner_that_does_not_respond_is_left_out(survey, sent, clock):
    load = Deferred.fromCoroutine(survey.measure(["me", "a"], OWN))
    clock.advance(RESPONSE_WAIT_S)
    assert await load == OWN


@pytest_twisted.ensureDeferred
async def test_a_response_to_an_earlier_query_is_not_counted(survey, sent, clock):
    first = Deferred.fromCoroutine(survey.measure(["a"], OWN))
    second = Deferred.fromCoroutine(survey.measure(["a"], OWN))
    survey.take_response("a", LoadResponse(sent[0].message.nonce, 5.0, 0.5))
    assert (await first).calls_per_s == 5.0
    clock.advance(RESPONSE_WAIT_S)
    assert (await second).calls_per_s == 0.0


def test_a_steady_rate_shows_soon_and_decays_later():
    meter = LoadMeter(0.0)
    for step in range(1, 201):
        meter.add(1, 0.02, step / 100)
    assert meter.read(2.0).calls_per_s == pytest.approx(100, rel=0.1)
    assert meter.read(2.0).busy_slots == pytest.approx(2.0, rel=0.1)
    assert meter.read(60.0).calls_per_s < 1
