from collections.abc import Awaitable, Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, succeed

from corianderwall.model.change import (
    AddVersion,
    Change,
    EndMove,
    Operation,
    PutRoute,
    PutService,
)
from corianderwall.model.codec import compute_digest
from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.model.resource import (
    EMPTY_SNAPSHOT,
    HeaderMatch,
    MoveState,
    Route,
    Service,
    VersionShare,
)
from corianderwall.standins.memory import Fault, ManualTimer, MemoryObjectApi
from corianderwall.store.commit import Committed
from corianderwall.store.document import (
    HEAD_KEY,
    MAX_RECENT,
    PARTS_PREFIX,
    decode_head,
    name_audit_key,
)
from corianderwall.store.head import HeadStore, OperationState, Resolution
from corianderwall.store.operation import (
    MAX_SUMMARY_CHARACTERS,
    make_operation_id,
    summarise_change,
)
from corianderwall.store.sweep import sweep_objects

FAR = 1e9
WHOLE = (VersionShare(version="v1", permille=1000),)
CREATE = PutService(Service(name="placements", versions=("v1",), split=WHOLE))


class Bench:
    """A store on an object table in memory; `run` advances the clock until a coroutine ends."""

    def __init__(self, api: MemoryObjectApi | None = None) -> None:
        self.timer = ManualTimer()
        self.api = api or MemoryObjectApi()
        self.store = HeadStore(self.api, self.timer, Random(7))

    def run(self, coroutine: Awaitable[object]) -> object:
        results: list[object] = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        for _ in range(10_000):
            if results:
                break
            self.timer.clock.advance(0.5)
        if isinstance(results[0], Exception) or hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def commit(self, operation_id: str, change: Change, *, deadline: float = FAR) -> Committed:
        operation = Operation(operation_id, "asha", change)
        result = self.run(self.store.commit(operation, deadline=deadline))
        assert isinstance(result, Committed)
        return result

    def add_versions(self, first: int, count: int) -> None:
        for number in range(first, first + count):
            self.commit(f"add-{number}", AddVersion("placements", f"v{number}"))

    def resolve(self, operation_id: str) -> Resolution:
        result = self.run(self.store.resolve(operation_id, deadline=FAR))
        assert isinstance(result, Resolution)
        return result

    def read_trail(self) -> list[tuple[int, int, str]]:
        records = self.run(self.store.read_audit(before_version=None, limit=10_000, deadline=FAR))
        return [(each.from_version, each.to_version, each.operation_id) for each in records]


@pytest.fixture
def bench() -> Bench:
    return Bench()


def plan_faults(faults: dict[int, Fault], kind: str = "write") -> Callable[..., Awaitable[Fault]]:
    counted = 0

    def gate(called: str, key: str) -> Awaitable[Fault]:
        nonlocal counted
        if called != kind:
            return succeed(Fault.NONE)
        counted += 1
        return succeed(faults.get(counted, Fault.NONE))

    return gate


def test_a_commit_writes_version_and_record_together(bench: Bench) -> None:
    committed = bench.commit("op-1", CREATE)
    document = decode_head(bench.api.table.read_value(HEAD_KEY))
    assert (committed.version, document.version) == (1, 1)
    assert document.recent == (committed.record,)
    assert document.digest == compute_digest(committed.head.snapshot)


def test_an_operation_sent_again_is_applied_once(bench: Bench) -> None:
    first = bench.commit("op-1", CREATE)
    again = bench.commit("op-1", CREATE)
    assert again.record == first.record
    assert again.head.version == 1


@pytest.mark.parametrize("fault", [Fault.ANSWER_LOST, Fault.REQUEST_LOST, Fault.DELAYED])
@pytest.mark.parametrize("write", range(1, 5))
def test_a_lost_answer_at_any_write_does_not_change_the_outcome(
    bench: Bench, write: int, fault: Fault
) -> None:
    bench.commit("op-0", CREATE)
    bench.api.gate = plan_faults({write: fault})
    bench.add_versions(2, 3)
    bench.api.flush_delayed()
    assert [entry[1] for entry in bench.read_trail()] == [4, 3, 2, 1]


def test_a_delayed_write_that_arrives_before_the_retry_is_recognised(bench: Bench) -> None:
    bench.commit("op-0", CREATE)

    async def gate(kind: str, key: str) -> Fault:
        if kind == "read":
            bench.api.flush_delayed()
        return Fault.DELAYED if kind == "write" and key == HEAD_KEY else Fault.NONE

    bench.api.gate = gate
    assert bench.commit("op-1", AddVersion("placements", "v2")).version == 2
    assert bench.api.calls.count(f"write {HEAD_KEY}") == 2


def test_a_lost_answer_is_found_in_the_archive_when_the_head_has_moved_far(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    other = Bench(MemoryObjectApi(bench.api.table))
    bench.api.gate = plan_faults({2: Fault.ANSWER_LOST})
    results: list[Committed] = []
    operation = Operation("op-1", "asha", AddVersion("placements", "v2"))
    Deferred.fromCoroutine(bench.store.commit(operation, deadline=FAR)).addCallback(results.append)
    other.add_versions(100, MAX_RECENT + 5)
    for _ in range(100):
        bench.timer.clock.advance(0.5)
    assert results[0].version == 2
    assert results[0].head.version == MAX_RECENT + 7


def test_an_outcome_that_stays_unknown_is_said_so_and_can_be_asked_later(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    first_write_passed = False

    async def gate(kind: str, key: str) -> Fault:
        nonlocal first_write_passed
        if kind == "write" and key == HEAD_KEY:
            first_write_passed = True
            return Fault.ANSWER_LOST
        return Fault.DOWN if first_write_passed else Fault.NONE

    bench.api.gate = gate
    operation_id = make_operation_id(int(bench.timer.read_unix() * 1000), Random(1))
    with pytest.raises(CorianderwallError) as caught:
        bench.commit(operation_id, AddVersion("placements", "v2"), deadline=20)
    assert caught.value.code is ErrorCode.OUTCOME_UNKNOWN
    assert caught.value.effect is Effect.UNKNOWN
    bench.api.gate = plan_faults({})
    assert bench.resolve(operation_id).state is OperationState.APPLIED


def test_an_operation_is_called_not_applied_only_once_none_can_be_under_way(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    operation_id = make_operation_id(int(bench.timer.read_unix() * 1000), Random(1))
    assert bench.resolve(operation_id).state is OperationState.UNKNOWN
    bench.timer.clock.advance(121)
    assert bench.resolve(operation_id).state is OperationState.NOT_APPLIED


def test_a_change_that_waited_past_its_deadline_is_not_begun(bench: Bench) -> None:
    with pytest.raises(CorianderwallError) as caught:
        bench.commit("op-0", CREATE, deadline=bench.timer.read_monotonic())
    assert (caught.value.code, caught.value.effect) == (ErrorCode.DEADLINE_EXCEEDED, Effect.NONE)
    assert bench.api.calls == []


def test_versions_do_not_begin_again_when_the_head_was_deleted(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    bench.add_versions(2, 2)
    bench.api.table.delete(HEAD_KEY, bench.api.table.read_revision(HEAD_KEY))
    with pytest.raises(CorianderwallError) as caught:
        Bench(bench.api).commit("op-9", CREATE)
    assert caught.value.code is ErrorCode.DAMAGED_UPDATE
    assert HEAD_KEY not in bench.api.table.list_keys("")


def test_changes_in_a_row_read_the_head_once(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    bench.add_versions(2, 5)
    assert bench.api.calls.count(f"read {HEAD_KEY}") == 1


def test_a_head_that_another_node_replaced_is_not_built_on(bench: Bench) -> None:
    other = Bench(MemoryObjectApi(bench.api.table))
    bench.commit("op-0", CREATE)
    other.commit("op-1", AddVersion("placements", "v2"))
    pinned = Route(name="accept", service="placements", pinned_version="v2")
    assert bench.commit("op-2", PutRoute(pinned)).version == 3
    other.commit("op-3", AddVersion("placements", "v3"))
    assert bench.commit("op-3", AddVersion("placements", "v3")).version == 4
    assert [entry[2] for entry in bench.read_trail()] == ["op-3", "op-2", "op-1", "op-0"]


def send_again(bench: Bench, operation_id: str) -> Committed:
    operation = Operation(operation_id, "asha", AddVersion("placements", "v2"))
    return bench.run(bench.store.commit(operation, deadline=FAR, repeated=True))


def test_an_operation_sent_again_much_later_is_found_in_the_archive(bench: Bench) -> None:
    operation_id = make_operation_id(int(bench.timer.read_unix() * 1000), Random(1))
    bench.commit("op-0", CREATE)
    bench.commit(operation_id, AddVersion("placements", "v2"))
    bench.add_versions(100, MAX_RECENT + 20)
    assert send_again(bench, operation_id).version == 2


def test_an_operation_that_cannot_be_searched_for_is_not_applied_again(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    bench.add_versions(100, MAX_RECENT + 20)
    oldest = name_audit_key(1)
    bench.api.table.delete(oldest, bench.api.table.read_revision(oldest))
    with pytest.raises(CorianderwallError) as caught:
        send_again(bench, "an-id-without-a-time")
    assert caught.value.effect is Effect.UNKNOWN
    assert len(bench.read_trail()) == MAX_RECENT + 20
    assert bench.resolve("an-id-without-a-time").state is OperationState.UNKNOWN


def test_a_repeat_that_fails_does_not_speak_for_the_first_attempt(bench: Bench) -> None:
    async def gate(kind: str, key: str) -> Fault:
        return Fault.DOWN

    bench.api.gate = gate
    operation = Operation("op-1", "asha", CREATE)
    with pytest.raises(CorianderwallError) as caught:
        bench.run(bench.store.commit(operation, deadline=10, repeated=True))
    assert caught.value.effect is Effect.UNKNOWN


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        (Fault.DOWN, ErrorCode.PLATFORM_UNAVAILABLE),
        (Fault.THROTTLED, ErrorCode.PLATFORM_THROTTLED),
    ],
)
def test_a_platform_that_refuses_until_the_deadline_had_no_effect(
    bench: Bench, fault: Fault, code: ErrorCode
) -> None:
    async def gate(kind: str, key: str) -> Fault:
        return fault

    bench.api.gate = gate
    with pytest.raises(CorianderwallError) as caught:
        bench.commit("op-1", CREATE, deadline=10)
    assert (caught.value.code, caught.value.effect) == (code, Effect.NONE)
    assert bench.api.table.list_keys("") == []


def test_a_refused_change_writes_nothing(bench: Bench) -> None:
    with pytest.raises(CorianderwallError) as caught:
        bench.commit("op-1", PutRoute(Route(name="accept", service="placements")))
    assert caught.value.code is ErrorCode.DANGLING_REFERENCE
    assert bench.api.calls == [f"read {HEAD_KEY}", f"read {name_audit_key(1)}"]


def test_the_trail_reaches_behind_the_head_without_a_gap(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    bench.add_versions(2, MAX_RECENT + 10)
    trail = bench.read_trail()
    assert [entry[:2] for entry in trail] == [(v - 1, v) for v in range(MAX_RECENT + 11, 0, -1)]


def test_an_older_snapshot_is_rebuilt(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    bench.add_versions(2, 6)
    snapshot = bench.run(bench.store.read_snapshot_at(3, deadline=FAR))
    assert snapshot.version == 3
    assert snapshot.services[0].versions == ("v1", "v2", "v3")
    assert bench.run(bench.store.read_snapshot_at(0, deadline=FAR)) == EMPTY_SNAPSHOT


def build_large_route(number: int, value: str = "x" * 900) -> PutRoute:
    values = tuple(HeaderMatch(name=f"h{each}", value=value) for each in range(300))
    return PutRoute(Route(name=f"route-{number}", service="placements", headers=values))


def test_a_large_body_is_split_and_joined_and_swept(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    for number in range(5):
        bench.commit(f"op-{number + 1}", build_large_route(number))
    stored = bench.run(bench.store.read_head(deadline=FAR))
    assert len(stored.parts) == 2
    assert len(stored.head.snapshot.routes) == 5
    superfluous = len(bench.api.table.list_keys(PARTS_PREFIX)) - len(stored.parts)
    assert superfluous > 0
    assert bench.run(sweep_objects(bench.api, stored)) == superfluous
    assert bench.run(bench.store.read_head(deadline=FAR)) == stored


def test_a_large_resource_can_be_replaced(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    for letter in "xyz":
        committed = bench.commit(f"op-{letter}", build_large_route(1, letter * 1750))
    assert len(bench.api.table.read_value(HEAD_KEY)) <= 1 << 20
    older = bench.run(bench.store.read_snapshot_at(committed.version - 1, deadline=FAR))
    assert older.routes[0].headers[0].value == "y" * 1750


def test_a_long_text_in_a_change_does_not_fill_the_head() -> None:
    end = EndMove("m1", MoveState.TAKEN_BACK, "cause", "e" * 100_000, 1, 1)
    assert len(summarise_change(end)) <= MAX_SUMMARY_CHARACTERS


def test_a_sweep_spares_the_parts_of_a_head_that_is_being_written(bench: Bench) -> None:
    bench.commit("op-0", CREATE)
    for number in range(3):
        bench.commit(f"op-{number + 1}", build_large_route(number))
    swept = Bench(MemoryObjectApi(bench.api.table))

    async def gate(kind: str, key: str) -> Fault:
        if kind == "write" and key == HEAD_KEY:
            stored = swept.run(swept.store.read_head(deadline=FAR))
            swept.run(sweep_objects(swept.api, stored))
        return Fault.NONE

    bench.api.gate = gate
    bench.commit("op-9", build_large_route(9))
    stored = bench.run(bench.store.read_head(deadline=FAR))
    assert len(stored.head.snapshot.routes) == 4


def race_operators(data: st.DataObject) -> None:
    """Interleave the calls of several operators with faults, then check the results they got."""
    timer = ManualTimer()
    waiting: list[Deferred[Fault]] = []

    def gate(kind: str, key: str) -> Awaitable[Fault]:
        held: Deferred[Fault] = Deferred()
        waiting.append(held)
        return held

    api = MemoryObjectApi(gate=gate)
    ended: dict[str, object] = {}
    operators = data.draw(st.integers(2, 4), label="operators")
    stores = [HeadStore(api, timer, Random(seed)) for seed in range(operators)]
    for number in range(operators + 2):
        version = AddVersion("placements", f"v{number % 3 + 2}")
        operation = Operation(f"op-{number}", "asha", CREATE if number == 0 else version)
        # The last two operations repeat earlier ones through another node.
        if number >= operators:
            earlier = AddVersion("placements", f"v{(number - operators) % 3 + 2}")
            identity = f"op-{number - operators}"
            operation = Operation(identity, "asha", CREATE if identity == "op-0" else earlier)
        store = stores[number % operators]
        done = Deferred.fromCoroutine(store.commit(operation, deadline=30))
        done.addBoth(lambda result, number=number: ended.__setitem__(str(number), result))
    faults = st.sampled_from([Fault.NONE] * 4 + list(Fault))
    for _ in range(400):
        if len(ended) == operators + 2:
            break
        if waiting and data.draw(st.integers(0, 3), label="advance") > 0:
            chosen = data.draw(st.integers(0, len(waiting) - 1), label="call")
            waiting.pop(chosen).callback(data.draw(faults, label="fault"))
        else:
            timer.clock.advance(0.3)
            if data.draw(st.booleans(), label="arrive"):
                api.flush_delayed()
    timer.clock.advance(60)
    while waiting:
        waiting.pop().callback(Fault.NONE)
        timer.clock.advance(60)
    api.flush_delayed()
    check_race(api.table, ended, operators)


def check_race(table: object, ended: dict[str, object], operators: int) -> None:
    reader = Bench(MemoryObjectApi(table))
    trail = reader.read_trail()
    assert [entry[:2] for entry in trail] == [(v - 1, v) for v in range(len(trail), 0, -1)]
    applied = [entry[2] for entry in trail]
    assert len(set(applied)) == len(applied)
    assert len(ended) == operators + 2
    told: dict[str, list[object]] = {}
    for number, result in ended.items():
        identity = int(number) if int(number) < operators else int(number) - operators
        told.setdefault(f"op-{identity}", []).append(result)
    for identity, results in told.items():
        for result in results:
            if isinstance(result, Committed):
                assert (result.version - 1, result.version, identity) in trail
        # An operation that was sent twice may fail at one node and later succeed at the other.
        if len(results) == 1 and not isinstance(results[0], Committed):
            error = results[0].value
            assert isinstance(error, CorianderwallError)
            assert error.effect is Effect.UNKNOWN or identity not in applied


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_racing_operators_are_all_told_the_truth(data: st.DataObject) -> None:
    race_operators(data)
