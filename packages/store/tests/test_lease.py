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


class Rivals:
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
def rivals() -> Rivals:
    return Rivals()


def expect_lost(rivals: Rivals, number: int) -> None:
    with pytest.raises(CorianderwallError) as caught:
        rivals.require_held(number)
    assert caught.value.code is ErrorCode.LEASE_LOST


def test_only_one_holds_and_the_next_holder_has_a_higher_token(rivals: Rivals) -> None:
    assert rivals.run(rivals.keepers[0].acquire())
    first = rivals.require_held(0)
    assert not rivals.run(rivals.keepers[1].acquire())
    expect_lost(rivals, 1)
    rivals.timer.clock.advance(TTL_S + MAX_CLOCK_SKEW_S)
    assert rivals.run(rivals.keepers[1].acquire())
    assert rivals.require_held(1) > first


def test_a_renewal_extends_the_deadline_under_the_same_token(rivals: Rivals) -> None:
    rivals.run(rivals.keepers[0].acquire())
    token = rivals.require_held(0)
    for _ in range(5):
        rivals.timer.clock.advance(TTL_S - 1)
        assert rivals.run(rivals.keepers[0].renew())
    assert rivals.require_held(0) == token


def test_a_paused_holder_notices_the_lapse_before_it_acts(rivals: Rivals) -> None:
    rivals.run(rivals.keepers[0].acquire())
    rivals.timer.clock.advance(TTL_S)
    expect_lost(rivals, 0)
    assert rivals.keepers[0].lease.state == "lapsed"
    assert not rivals.run(rivals.keepers[0].renew())


def test_a_pause_while_the_write_is_under_way_grants_nothing(rivals: Rivals) -> None:
    async def gate(kind: str, key: str) -> Fault:
        if kind == "write":
            rivals.timer.clock.advance(TTL_S + 1)
        return Fault.NONE

    rivals.apis[0].gate = gate
    assert not rivals.run(rivals.keepers[0].acquire())
    expect_lost(rivals, 0)


def test_a_renewal_after_a_takeover_is_a_lapse(rivals: Rivals) -> None:
    rivals.run(rivals.keepers[0].acquire())
    key = rivals.table.list_keys("leases/")[0]
    rivals.table.write(key, b"taken over", rivals.table.read_revision(key))
    assert not rivals.run(rivals.keepers[0].renew())
    assert rivals.keepers[0].lease.state == "lapsed"


def test_a_lost_answer_to_an_acquisition_is_resolved_by_reading(rivals: Rivals) -> None:
    async def gate(kind: str, key: str) -> Fault:
        return Fault.ANSWER_LOST if kind == "write" else Fault.NONE

    rivals.apis[0].gate = gate
    assert rivals.run(rivals.keepers[0].acquire())
    assert rivals.require_held(0) == rivals.table.read_revision("leases/mover")


def test_an_outage_leaves_a_held_lease_until_its_deadline(rivals: Rivals) -> None:
    rivals.run(rivals.keepers[0].acquire())

    async def gate(kind: str, key: str) -> Fault:
        return Fault.DOWN

    rivals.apis[0].gate = gate
    with pytest.raises(CorianderwallError):
        rivals.run(rivals.keepers[0].renew())
    assert rivals.require_held(0) > 0
    rivals.timer.clock.advance(TTL_S)
    expect_lost(rivals, 0)


def test_a_released_lease_is_free_at_once(rivals: Rivals) -> None:
    rivals.run(rivals.keepers[0].acquire())
    rivals.run(rivals.keepers[0].release())
    expect_lost(rivals, 0)
    assert rivals.run(rivals.keepers[1].acquire())
    assert [len(api.table.list_keys("leases/")) for api in rivals.apis] == [1, 1]


def test_an_abandoned_lease_is_swept_and_a_recent_one_is_not(rivals: Rivals) -> None:
    rivals.run(rivals.keepers[0].acquire())
    unix_ms = int(rivals.timer.read_unix() * 1000)
    assert rivals.run(sweep_leases(rivals.apis[0], unix_ms=unix_ms + ABANDONED_AFTER_MS)) == 0
    assert rivals.run(sweep_leases(rivals.apis[0], unix_ms=unix_ms + ABANDONED_AFTER_MS + 1)) == 1


def test_a_damaged_lease_object_can_be_taken(rivals: Rivals) -> None:
    rivals.table.write("leases/mover", b"\xff{", 0)
    assert rivals.run(rivals.keepers[0].acquire())


STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["acquire", "renew", "release", "wait"])),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS, st.randoms(use_true_random=False))
def test_never_two_holders_and_tokens_only_grow(
    steps: list[tuple[int, str]], random: Random
) -> None:
    rivals = Rivals(3)

    async def gate(kind: str, key: str) -> Fault:
        return random.choice([Fault.NONE, Fault.NONE, *Fault])

    for api in rivals.apis:
        api.gate = gate
    highest, owner = 0, -1
    for number, action in steps:
        if action == "wait":
            rivals.timer.clock.advance(random.uniform(0, TTL_S))
        else:
            try:
                rivals.run(getattr(rivals.keepers[number], action)())
            except CorianderwallError:
                rivals.apis[number].flush_delayed()
        now = rivals.timer.read_monotonic()
        holding = [i for i, each in enumerate(rivals.keepers) if each.lease.is_held(now)]
        assert len(holding) <= 1
        for holder in holding:
            token = rivals.require_held(holder)
            assert token > highest or (token == highest and holder == owner)
            highest, owner = token, holder
