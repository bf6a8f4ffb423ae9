from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from corianderwall.model.endpoint import Address, Endpoint, Locality
from corianderwall.model.message import PeerMessage
from corianderwall.traffic.lease_holder import LeaseHolder, NextHop
from corianderwall.traffic.lease_issuer import LeaseIssuer, LeasePolicy
from corianderwall.traffic.messages import LeaseGrant, LeaseNotice, LeaseRequest

BUDGET = 5
POLICY = LeasePolicy()
LEASE_LIFETIME_S = POLICY.term_s + POLICY.max_call_s
ENDPOINT = Endpoint(
    name="e",
    service="gazeti",
    version="v1",
    node="owner",
    locality=Locality(region="r", zone="z"),
    address=Address(host="127.0.0.1", port=1),
    slots=6,
    connections=110,
)


def make_issuer(session: int, now: float) -> LeaseIssuer:
    issuer = LeaseIssuer("owner", session, "z", now)
    issuer.set_budget("e", BUDGET)
    return issuer


class Link:
    """A holder and an issuer that exchange messages without loss."""

    def __init__(self, *, zone: str = "z", issuer: LeaseIssuer | None = None) -> None:
        self.issuer = issuer or make_issuer(1, -LEASE_LIFETIME_S)
        self.holder = LeaseHolder(f"holder-{zone}", 1, zone)

    def exchange(self, now: float) -> int:
        requests = self.holder.collect_requests(now)
        for outgoing in requests:
            assert isinstance(outgoing.message, LeaseRequest)
            response = self.issuer.receive(outgoing.message, now)
            if response is not None:
                assert isinstance(response.outgoing.message, LeaseGrant)
                self.holder.receive_grant(response.outgoing.message)
        return len(requests)

    def acquire(self, now: float, *, flow: str = "a", timeout_s: float = 1) -> NextHop:
        return self.holder.acquire(ENDPOINT, flow, now + timeout_s, now)


class LeaseMachine(RuleBasedStateMachine):
    """Three holders with different clocks, an owner, and an unreliable network."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.offsets = [0.0, 1000.0, -500.0]
        self.sessions = [1, 1, 1]
        self.owner_session = 1
        self.issuer = make_issuer(1, -LEASE_LIFETIME_S)
        self.holders = [LeaseHolder(f"h{index}", 1, "zy"[index % 2]) for index in range(3)]
        self.network: list[tuple[int, PeerMessage]] = []
        self.calls: list[tuple[int, NextHop, float]] = []

    def read_clock(self, index: int) -> float:
        return self.now + self.offsets[index]

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 4.0, 11.0, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for call in [call for call in self.calls if call[2] <= self.now]:
            self.end_call(call)

    @rule(
        index=st.integers(0, 2),
        count=st.integers(1, 5),
        timeout_s=st.sampled_from([0.5, 5.0, 14.0, 19.0, 40.0]),
    )
    def start_calls(self, index: int, count: int, timeout_s: float) -> None:
        clock = self.read_clock(index)
        for _ in range(count):
            hop = self.holders[index].acquire(ENDPOINT, "a", clock + timeout_s, clock)
            self.calls.append((index, hop, self.now + timeout_s))

    @rule(pick=st.integers(0, 99))
    def finish_call(self, pick: int) -> None:
        if self.calls:
            self.end_call(self.calls[pick % len(self.calls)])

    def end_call(self, call: tuple[int, NextHop, float]) -> None:
        self.calls.remove(call)
        self.holders[call[0]].release(call[1], self.read_clock(call[0]))

    @rule(index=st.integers(0, 2))
    def send_requests(self, index: int) -> None:
        for outgoing in self.holders[index].collect_requests(self.read_clock(index)):
            self.network.append((index, outgoing.message))

    @rule(pick=st.integers(0, 99), is_doubled=st.booleans())
    def deliver(self, pick: int, is_doubled: bool) -> None:
        if not self.network:
            return
        index, message = self.network[pick % len(self.network)]
        if not is_doubled:
            self.network.remove((index, message))
        if isinstance(message, LeaseGrant):
            self.holders[index].receive_grant(message)
        elif isinstance(message, LeaseRequest):
            response = self.issuer.receive(message, self.now)
            if response is not None:
                self.network.append((index, response.outgoing.message))

    @rule(index=st.integers(0, 2))
    def exchange(self, index: int) -> None:
        for outgoing in self.holders[index].collect_requests(self.read_clock(index)):
            assert isinstance(outgoing.message, LeaseRequest)
            response = self.issuer.receive(outgoing.message, self.now)
            if response is not None:
                assert isinstance(response.outgoing.message, LeaseGrant)
                self.holders[index].receive_grant(response.outgoing.message)

    @rule(pick=st.integers(0, 99))
    def lose(self, pick: int) -> None:
        if self.network:
            del self.network[pick % len(self.network)]

    @rule(index=st.integers(0, 2))
    def restart_holder(self, index: int) -> None:
        self.sessions[index] += 1
        zone = "zy"[index % 2]
        self.holders[index] = LeaseHolder(f"h{index}", self.sessions[index], zone)
        self.calls = [call for call in self.calls if call[0] != index]

    @rule(index=st.integers(0, 2))
    def forget_endpoint(self, index: int) -> None:
        self.holders[index].forget("e")

    @rule()
    def restart_owner(self) -> None:
        self.owner_session += 1
        self.issuer = make_issuer(self.owner_session, self.now)

    @rule()
    def expire_accounts(self) -> None:
        self.issuer.expire(self.now)

    @invariant()
    def the_connection_budget_is_kept(self) -> None:
        direct = [hop for _, hop, _ in self.calls if hop.direct]
        assert len(direct) <= BUDGET

    @invariant()
    def the_owner_counts_every_direct_call(self) -> None:
        direct = [hop for _, hop, _ in self.calls if hop.direct]
        charge = self.issuer.count_charge("e", self.now)
        assert charge <= BUDGET
        if self.owner_session == 1:
            assert len(direct) <= charge


LeaseMachine.TestCase.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=60, deadline=None
)
test_leases_hold_the_budget_through_any_faults = LeaseMachine.TestCase


def run_random_step(machine: LeaseMachine, random: Random) -> None:
    index = random.randrange(3)
    pick = random.randrange(99)
    timeout_s = random.choice([0.5, 5.0, 14.0, 19.0])
    seconds = random.choice([0.05, 0.3, 0.3, 1.0, 4.0])
    events: list[tuple[int, Callable[[], None]]] = [
        (200, lambda: machine.start_calls(index, random.randint(1, 5), timeout_s)),
        (150, lambda: machine.finish_call(pick)),
        (150, lambda: machine.send_requests(index)),
        (250, lambda: machine.deliver(pick, random.random() < 0.2)),
        (30, lambda: machine.lose(pick)),
        (180, lambda: machine.pass_time(seconds)),
        (20, lambda: machine.forget_endpoint(index)),
        (5, machine.expire_accounts),
        (2, lambda: machine.restart_holder(index)),
        (2, machine.restart_owner),
    ]
    (event,) = random.choices([each for _, each in events], [weight for weight, _ in events])
    event()


@pytest.mark.parametrize("seed", range(20))
def test_leases_hold_the_budget_in_long_runs(seed: int) -> None:
    random = Random(seed)
    machine = LeaseMachine()
    direct = 0
    for _ in range(2_000):
        run_random_step(machine, random)
        machine.the_connection_budget_is_kept()
        machine.the_owner_counts_every_direct_call()
        direct += any(hop.direct for _, hop, _ in machine.calls)
    assert direct > 200


def test_a_call_without_a_lease_goes_through_the_owner() -> None:
    link = Link()
    assert not link.acquire(0).direct
    link.exchange(0)
    assert link.acquire(0.1).direct


def test_no_call_starts_on_a_lease_after_its_deadline() -> None:
    link = Link()
    link.holder.release(link.acquire(0), 0)
    link.exchange(0)
    last = POLICY.term_s * 0.98
    assert link.acquire(last - 0.01).direct
    assert not link.acquire(last + 0.01).direct
    assert link.holder.read_connection_limit("e", last + 0.01) == 0


def test_a_call_that_may_outlive_the_lease_goes_through_the_owner() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    assert not link.acquire(0.1, timeout_s=POLICY.max_call_s + 1).direct


def test_pressure_sends_calls_through_the_owner_also_when_the_notice_is_lost() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    notices = link.issuer.set_pressure("e", saturated=False, over_share=("heavy",), now=1)
    assert link.acquire(1, flow="heavy").direct
    assert link.exchange(4.1) == 1
    assert not link.acquire(4.2, flow="heavy").direct
    link.issuer.set_pressure("e", saturated=False, over_share=(), now=5)
    link.exchange(8.3)
    assert isinstance(notices[0].message, LeaseNotice)
    link.holder.receive_notice(notices[0].message)
    assert link.acquire(8.4, flow="heavy").direct


def test_saturation_sends_all_calls_through_the_owner() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    (notice,) = link.issuer.set_pressure("e", saturated=True, over_share=(), now=1)
    assert isinstance(notice.message, LeaseNotice)
    link.holder.receive_notice(notice.message)
    assert not link.acquire(1.1).direct


def test_holders_in_the_zone_of_the_owner_get_more_leases() -> None:
    near = Link()
    far = Link(zone="y", issuer=near.issuer)
    for link in (near, far):
        for _ in range(8):
            link.acquire(0)
    for step in range(8):
        for link in (near, far):
            link.exchange(step * 4.1)
    now = 30.0
    assert (
        near.holder.read_connection_limit("e", now) + far.holder.read_connection_limit("e", now)
        == BUDGET
    )
    assert near.holder.read_connection_limit("e", now) > far.holder.read_connection_limit("e", now)


def test_leases_of_an_idle_endpoint_are_returned() -> None:
    link = Link()
    link.holder.release(link.acquire(0), 0.1)
    for step in range(6):
        link.exchange(step * 4.1)
    assert link.issuer.count_charge("e", 20.6) == 0


def test_leases_of_a_forgotten_endpoint_are_returned_at_once() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    running = link.acquire(0.1)
    link.holder.forget("e")
    link.exchange(0.3)
    assert link.issuer.count_charge("e", 0.3) == 1
    link.holder.release(running, 0.6)
    link.exchange(0.6)
    assert link.issuer.count_charge("e", 0.6) == 0


def test_usage_is_reported_once() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    link.holder.release(link.acquire(0.1), 0.4)
    (outgoing,) = link.holder.collect_requests(4.1)
    assert isinstance(outgoing.message, LeaseRequest)
    first = link.issuer.receive(outgoing.message, 4.1)
    assert first is not None
    assert [(use.calls, use.busy_ms) for use in first.reports[0].usage] == [(1, 300)]
    assert link.issuer.receive(outgoing.message, 4.2) is None


def test_requests_stay_rare_while_an_endpoint_is_short_of_leases() -> None:
    link = Link()
    random = Random(5)
    running: list[NextHop] = []
    sent = 0
    for step in range(4_000):
        now = step / 100
        if random.random() < 0.5 or not running:
            running.append(link.acquire(now))
        else:
            link.holder.release(running.pop(0), now)
        sent += link.exchange(now)
    assert sent <= 40 / 4 * 3


def test_a_grant_overtaken_by_a_newer_one_is_ignored() -> None:
    link = Link()
    other = Link(zone="y", issuer=link.issuer)
    link.acquire(0)
    late = respond_to_requests(link, 0)
    link.holder.receive_grant(late)
    before = link.holder.read_connection_limit("e", 0.1)
    for _ in range(40):
        other.acquire(1)
    other.exchange(1)
    newer = respond_to_requests(link, 4.1)
    link.holder.receive_grant(newer)
    after = link.holder.read_connection_limit("e", 4.2)
    link.holder.receive_grant(late)
    assert link.holder.read_connection_limit("e", 4.2) == after < before


def test_a_grant_from_before_the_endpoint_left_is_ignored() -> None:
    link = Link()
    link.issuer.set_budget("other", BUDGET)
    link.holder.acquire(replace(ENDPOINT, name="other"), "a", 1, 0)
    first = link.acquire(0)
    late = respond_to_requests(link, 0)
    link.holder.receive_grant(late)
    assert link.holder.read_connection_limit("e", 0.1) > 0
    link.holder.release(first, 0.1)
    link.holder.forget("e")
    link.exchange(0.3)
    assert not link.acquire(0.4).direct
    link.holder.receive_grant(late)
    assert not link.acquire(0.5).direct


def respond_to_requests(link: Link, now: float) -> LeaseGrant:
    (request,) = link.holder.collect_requests(now)
    assert isinstance(request.message, LeaseRequest)
    response = link.issuer.receive(request.message, now)
    assert response is not None and isinstance(response.outgoing.message, LeaseGrant)
    return response.outgoing.message


def test_notices_of_a_flapping_state_are_limited_and_the_last_is_sent() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    notice_count = 0
    for step in range(1_000):
        now = 1 + step / 100
        notice_count += len(
            link.issuer.set_pressure("e", saturated=bool(step % 2), over_share=(), now=now)
        )
    assert notice_count <= 4 + 10 / 4 + 1
    late = link.issuer.set_pressure("e", saturated=False, over_share=(), now=20)
    assert [outgoing.message for outgoing in late]


def test_the_holder_finds_the_endpoints_where_a_flow_is_over_its_share() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    for over_share in (("heavy", "b"), ("b",)):
        now = 2.0 if "heavy" in over_share else 3.0
        changed = link.issuer.set_pressure("e", saturated=False, over_share=over_share, now=now)
        assert isinstance(changed[0].message, LeaseNotice)
        link.holder.receive_notice(changed[0].message)
        assert link.holder.find_over_share("b") == {"e"}
        assert ("e" in link.holder.find_over_share("heavy")) == ("heavy" in over_share)


def test_a_draining_endpoint_gets_no_direct_calls_after_one_notice() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    assert link.issuer.drain("e"), "the first notice is lost"
    assert link.acquire(0.1).direct
    (notice,) = link.issuer.drain("e")
    assert isinstance(notice.message, LeaseNotice)
    link.holder.receive_notice(notice.message)
    assert not link.acquire(1.1).direct
    assert not link.issuer.set_pressure("e", saturated=False, over_share=(), now=2.0)
    link.exchange(4.1)
    assert not link.acquire(4.2).direct
    assert link.holder.read_connection_limit("e", 4.2) == 0


def test_an_endpoint_that_is_ready_again_gets_direct_calls_again() -> None:
    link = Link()
    link.acquire(0)
    link.exchange(0)
    link.issuer.drain("e")
    link.issuer.set_budget("e", BUDGET)
    link.issuer.set_pressure("e", saturated=False, over_share=(), now=2.0)
    link.exchange(4.1)
    assert link.acquire(4.2).direct
