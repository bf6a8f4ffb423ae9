from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.standins.memory import Fault, ManualTimer, MemoryObjectApi
from corianderwall.standins.objects import ObjectTable
from corianderwall.store.lease import MAX_CLOCK_SKEW_S, LeaseKeeper
from corianderwall.store.sweep import ABANDONED_AFTER_MS, sweep_leases

TTL_S = 10.0


class LeaseContenders:
    """Several keepers that contend for one lease, with a shared object table and clock."""

    def __init__(self, count: int = 2) -> None:
        self.timer = ManualTimer()
        self.table = ObjectTable()
        self.apis = [MemoryObjectApi(self.table) for _ in range(count)]
        self.keepers = [
            LeaseKeeper(api, self.timer, name="mover", holder=f"n{number}", ttl_s=TTL_S)
            for number, api in enumerate(self.apis)
        ]

    def run(self, coroutine: object) -> object:
        done = Deferred.fromCoroutine(coroutine)
        result = done.result
        done.addErrback(lambda _: None)
        if hasattr(result, "raiseException"):
            result.raiseException()
        return result

    def require_held(self, number: int) -> int:
        return self.keepers[number].lease.require_held(self.timer.read_monotonic())


@pytest.fixture
def contenders() -> LeaseContenders:
    return LeaseContenders()


def expect_lost(contenders: LeaseContenders, number: int) -> None:
    with pytest.raises(CorianderwallError) as caught:
        contenders.require_held(number)
    assert caught.value.code is ErrorCode.LEASE_LOST


def test_only_one_node_holds_the_lease_and_the_next_has_a_higher_token(
    contenders: LeaseContenders,
) -> None:
    assert contenders.run(contenders.keepers[0].acquire())
    first = contenders.require_held(0)
    assert not contenders.run(contenders.keepers[1].acquire())
    expect_lost(contenders, 1)
    contenders.timer.clock.advance(TTL_S + MAX_CLOCK_SKEW_S)
    assert contenders.run(contenders.keepers[1].acquire())
    assert contenders.require_held(1) > first


def test_a_renewal_extends_the_deadline_under_the_same_token(contenders: LeaseContenders) -> None:
    contenders.run(contenders.keepers[0].acquire())
    token = contenders.require_held(0)
    for _ in range(5):
        contenders.timer.clock.advance(TTL_S - 1)
        assert contenders.run(contenders.keepers[0].renew())
    assert contenders.require_held(0) == token


def test_a_paused_holder_notices_the_lapse_before_it_acts(contenders: LeaseContenders) -> None:
    contenders.run(contenders.keepers[0].acquire())
    contenders.timer.clock.advance(TTL_S)
    expect_lost(contenders, 0)
    assert contenders.keepers[0].lease.state == "lapsed"
    assert not contenders.run(contenders.keepers[0].renew())


def test_a_pause_while_the_write_is_in_flight_grants_nothing(contenders: LeaseContenders) -> None:
    async def expire_lease_on_write(kind: str, key: str) -> Fault:
        if kind == "write":
            contenders.timer.clock.advance(TTL_S + 1)
        return Fault.NONE

    contenders.apis[0].fault_hook = expire_lease_on_write
    assert not contenders.run(contenders.keepers[0].acquire())
    expect_lost(contenders, 0)


def test_a_renewal_after_a_takeover_is_a_lapse(contenders: LeaseContenders) -> None:
    contenders.run(contenders.keepers[0].acquire())
    key = contenders.table.list_keys("leases/")[0]
    contenders.table.write(key, b"taken over", contenders.table.read_revision(key))
    assert not contenders.run(contenders.keepers[0].renew())
    assert contenders.keepers[0].lease.state == "lapsed"


# Guards against two holders with tokens in the wrong order, because the platform has lost a lease
# and gives out its revisions again.
def test_a_lease_that_the_platform_has_lost_goes_to_a_holder_with_a_higher_token(
    contenders: LeaseContenders,
) -> None:
    copy = contenders.table.take_copy()
    for key in ("a", "b", "c"):
        contenders.table.write(key, b"", 0)
    assert contenders.run(contenders.keepers[0].acquire())
    first = contenders.require_held(0)
    contenders.table.restore_copy(copy)
    assert contenders.run(contenders.keepers[1].acquire())
    assert contenders.table.read_revision("leases/mover") < 4
    assert contenders.require_held(1) > first
    assert not contenders.run(contenders.keepers[0].renew())
    expect_lost(contenders, 0)


def test_a_lost_response_to_an_acquisition_is_resolved_by_reading(
    contenders: LeaseContenders,
) -> None:
    async def lose_write_responses(kind: str, key: str) -> Fault:
        return Fault.RESPONSE_LOST if kind == "write" else Fault.NONE

    contenders.apis[0].fault_hook = lose_write_responses
    assert contenders.run(contenders.keepers[0].acquire())
    assert contenders.require_held(0) == contenders.table.read_revision("leases/mover")


def test_an_outage_leaves_a_held_lease_until_its_deadline(contenders: LeaseContenders) -> None:
    contenders.run(contenders.keepers[0].acquire())

    async def fail_calls(kind: str, key: str) -> Fault:
        return Fault.DOWN

    contenders.apis[0].fault_hook = fail_calls
    with pytest.raises(CorianderwallError):
        contenders.run(contenders.keepers[0].renew())
    assert contenders.require_held(0) > 0
    contenders.timer.clock.advance(TTL_S)
    expect_lost(contenders, 0)


def test_a_released_lease_is_free_at_once(contenders: LeaseContenders) -> None:
    contenders.run(contenders.keepers[0].acquire())
    contenders.run(contenders.keepers[0].release())
    expect_lost(contenders, 0)
    assert contenders.run(contenders.keepers[1].acquire())
    assert [len(api.table.list_keys("leases/")) for api in contenders.apis] == [1, 1]


def test_an_abandoned_lease_is_swept_and_a_recent_one_is_not(contenders: LeaseContenders) -> None:
    contenders.run(contenders.keepers[0].acquire())
    unix_ms = int(contenders.timer.read_unix() * 1000)
    assert (
        contenders.run(sweep_leases(contenders.apis[0], unix_ms=unix_ms + ABANDONED_AFTER_MS)) == 0
    )
    assert (
        contenders.run(sweep_leases(contenders.apis[0], unix_ms=unix_ms + ABANDONED_AFTER_MS + 1))
        == 1
    )


def test_a_damaged_lease_object_can_be_taken(contenders: LeaseContenders) -> None:
    contenders.table.write("leases/mover", b"\xff{", 0)
    assert contenders.run(contenders.keepers[0].acquire())


STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["acquire", "renew", "release", "wait"])),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS, st.randoms(use_true_random=False))
def test_never_two_holders_and_tokens_only_grow(
    steps: list[tuple[int, str]], random: Random
) -> None:
    contenders = LeaseContenders(3)

    async def choose_random_fault(kind: str, key: str) -> Fault:
        return random.choice([Fault.NONE, Fault.NONE, *Fault])

    for api in contenders.apis:
        api.fault_hook = choose_random_fault
    highest_token, last_holder = 0, -1
    for number, action in steps:
        if action == "wait":
            contenders.timer.clock.advance(random.uniform(0, TTL_S))
        else:
            try:
                contenders.run(getattr(contenders.keepers[number], action)())
            except CorianderwallError:
                contenders.apis[number].flush_delayed()
        now = contenders.timer.read_monotonic()
        holders = [i for i, each in enumerate(contenders.keepers) if each.lease.is_held(now)]
        assert len(holders) <= 1
        for holder in holders:
            token = contenders.require_held(holder)
            assert token > highest_token or (token == highest_token and holder == last_holder)
            highest_token, last_holder = token, holder
