import pytest

from corianderwall.membership.detector import FailureDetector, Findings
from corianderwall.membership.events import LinkSilent
from corianderwall.membership.messages import ProbeRequest
from corianderwall.membership.settings import MembershipSettings
from corianderwall.model.message import OutgoingMessage


@pytest.fixture
def detector() -> FailureDetector:
    detector = FailureDetector(MembershipSettings(), lambda subject: ("a", "b", "c", "d"))
    detector.watch_only(["subject"], 0.0)
    return detector


def run(detector: FailureDetector, now: float) -> Findings:
    return detector.run_round(lambda name: True, now)


def test_three_probers_are_asked_about_a_silent_host(detector: FailureDetector) -> None:
    assert run(detector, 3.0).outgoing == []
    probes = [OutgoingMessage(prober, ProbeRequest("subject")) for prober in "abc"]
    assert run(detector, 4.0).outgoing == probes


def test_a_host_that_others_hear_is_not_accused_but_its_link_replaced(
    detector: FailureDetector,
) -> None:
    run(detector, 4.0)
    detector.record_probe_report("subject", is_heard=True)
    findings = run(detector, 5.5)
    assert findings.accused == []
    assert findings.events == [LinkSilent("subject")]


def test_a_host_that_nobody_hears_is_accused_and_cleared_when_heard(
    detector: FailureDetector,
) -> None:
    run(detector, 4.0)
    detector.record_probe_report("subject", is_heard=False)
    assert run(detector, 5.5).accused == ["subject"]
    detector.record_heard("subject", 6.0)
    assert run(detector, 6.1).cleared == ["subject"]


def test_a_refuted_accusation_is_not_repeated_at_once(detector: FailureDetector) -> None:
    run(detector, 4.0)
    run(detector, 5.5)
    assert detector.record_refutation("subject", 6.0) == [LinkSilent("subject")]
    accused = [name for step in range(90) for name in run(detector, 6.0 + step / 10).accused]
    assert accused == []


def test_the_link_to_a_peer_that_does_not_hear_us_is_replaced(detector: FailureDetector) -> None:
    events = [detector.record_hears_us("subject", False, float(now)) for now in range(3)]
    assert events == [[], [], [LinkSilent("subject")]]
