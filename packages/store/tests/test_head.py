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
from corianderwall.store.commit import CommitResult
from corianderwall.store.document import (
    HEAD_KEY,
    MAX_RECENT_RECORDS,
    PARTS_PREFIX,
    build_audit_key,
    decode_head,
)
from corianderwall.store.head import HeadStore, OperationOutcome, OperationState
from corianderwall.store.operation import (
    MAX_SUMMARY_CHARACTERS,
    make_operation_id,
    summarise_change,
)
from corianderwall.store.sweep import sweep_objects

FAR_DEADLINE = 1e9
V1_SPLIT = (VersionShare(version="v1", permille=1000),)
CREATE_SERVICE = PutService(Service(name="placements", versions=("v1",), split=V1_SPLIT))


class StoreHarness:
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

    def commit(
        self, operation_id: str, change: Change, *, deadline: float = FAR_DEADLINE
    ) -> CommitResult:
        operation = Operation(operation_id, "asha", change)
        result = self.run(self.store.commit(operation, deadline=deadline))
        assert isinstance(result, CommitResult)
        return result

    def add_versions(self, first: int, count: int) -> None:
        for number in range(first, first + count):
            self.commit(f"add-{number}", AddVersion("placements", f"v{number}"))

    def resolve(self, operation_id: str) -> OperationOutcome:
        result = self.run(self.store.resolve(operation_id, deadline=FAR_DEADLINE))
        assert isinstance(result, OperationOutcome)
        return result

    def read_audit_trail(self) -> list[tuple[int, int, str]]:
        records = self.run(
            self.store.read_audit(before_version=None, limit=10_000, deadline=FAR_DEADLINE)
        )
        return [(each.from_version, each.to_version, each.operation_id) for each in records]


@pytest.fixture
def harness() -> StoreHarness:
    return StoreHarness()


def plan_faults(faults: dict[int, Fault], kind: str = "write") -> Callable[..., Awaitable[Fault]]:
    call_count = 0

    def inject_planned_fault(call_kind: str, key: str) -> Awaitable[Fault]:
        nonlocal call_count
        if call_kind != kind:
            return succeed(Fault.NONE)
        call_count += 1
        return succeed(faults.get(call_count, Fault.NONE))

    return inject_planned_fault


def test_a_commit_writes_version_and_record_together(harness: StoreHarness) -> None:
    committed = harness.commit("op-1", CREATE_SERVICE)
    document = decode_head(harness.api.table.read_value(HEAD_KEY))
    assert (committed.version, document.version) == (1, 1)
    assert document.recent == (committed.record,)
    assert document.digest == compute_digest(committed.head.snapshot)


def test_an_operation_sent_again_is_applied_once(harness: StoreHarness) -> None:
    first = harness.commit("op-1", CREATE_SERVICE)
    again = harness.commit("op-1", CREATE_SERVICE)
    assert again.record == first.record
    assert again.head.version == 1


@pytest.mark.parametrize("fault", [Fault.RESPONSE_LOST, Fault.REQUEST_LOST, Fault.DELAYED])
@pytest.mark.parametrize("write", range(1, 5))
def test_a_lost_response_at_any_write_does_not_change_the_outcome(
    harness: StoreHarness, write: int, fault: Fault
) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    harness.api.fault_hook = plan_faults({write: fault})
    harness.add_versions(2, 3)
    harness.api.flush_delayed()
    assert [entry[1] for entry in harness.read_audit_trail()] == [4, 3, 2, 1]


def test_a_delayed_write_that_arrives_before_the_retry_is_recognised(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)

    async def delay_head_write(kind: str, key: str) -> Fault:
        if kind == "read":
            harness.api.flush_delayed()
        return Fault.DELAYED if kind == "write" and key == HEAD_KEY else Fault.NONE

    harness.api.fault_hook = delay_head_write
    assert harness.commit("op-1", AddVersion("placements", "v2")).version == 2
    assert harness.api.calls.count(f"write {HEAD_KEY}") == 2


def test_a_lost_response_is_resolved_from_the_archive_when_the_head_has_advanced(
    harness: StoreHarness,
) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    other = StoreHarness(MemoryObjectApi(harness.api.table))
    harness.api.fault_hook = plan_faults({2: Fault.RESPONSE_LOST})
    results: list[CommitResult] = []
    operation = Operation("op-1", "asha", AddVersion("placements", "v2"))
    Deferred.fromCoroutine(harness.store.commit(operation, deadline=FAR_DEADLINE)).addCallback(
        results.append
    )
    other.add_versions(100, MAX_RECENT_RECORDS + 5)
    for _ in range(100):
        harness.timer.clock.advance(0.5)
    assert results[0].version == 2
    assert results[0].head.version == MAX_RECENT_RECORDS + 7


def test_an_outcome_that_stays_unknown_is_reported_and_can_be_resolved_later(
    harness: StoreHarness,
) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    first_write_passed = False

    async def fail_from_first_head_write(kind: str, key: str) -> Fault:
        nonlocal first_write_passed
        if kind == "write" and key == HEAD_KEY:
            first_write_passed = True
            return Fault.RESPONSE_LOST
        return Fault.DOWN if first_write_passed else Fault.NONE

    harness.api.fault_hook = fail_from_first_head_write
    operation_id = make_operation_id(int(harness.timer.read_unix() * 1000), Random(1))
    with pytest.raises(CorianderwallError) as caught:
        harness.commit(operation_id, AddVersion("placements", "v2"), deadline=20)
    assert caught.value.code is ErrorCode.OUTCOME_UNKNOWN
    assert caught.value.effect is Effect.UNKNOWN
    harness.api.fault_hook = plan_faults({})
    assert harness.resolve(operation_id).state is OperationState.APPLIED


def test_an_operation_is_reported_not_applied_only_when_no_write_can_be_in_flight(
    harness: StoreHarness,
) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    operation_id = make_operation_id(int(harness.timer.read_unix() * 1000), Random(1))
    assert harness.resolve(operation_id).state is OperationState.UNKNOWN
    harness.timer.clock.advance(121)
    assert harness.resolve(operation_id).state is OperationState.NOT_APPLIED


def test_a_change_that_waited_past_its_deadline_is_not_started(harness: StoreHarness) -> None:
    with pytest.raises(CorianderwallError) as caught:
        harness.commit("op-0", CREATE_SERVICE, deadline=harness.timer.read_monotonic())
    assert (caught.value.code, caught.value.effect) == (ErrorCode.DEADLINE_EXCEEDED, Effect.NONE)
    assert harness.api.calls == []


def test_versions_do_not_restart_when_the_head_was_deleted(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    harness.add_versions(2, 2)
    harness.api.table.delete(HEAD_KEY, harness.api.table.read_revision(HEAD_KEY))
    with pytest.raises(CorianderwallError) as caught:
        StoreHarness(harness.api).commit("op-9", CREATE_SERVICE)
    assert caught.value.code is ErrorCode.DAMAGED_UPDATE
    assert HEAD_KEY not in harness.api.table.list_keys("")


def test_consecutive_changes_read_the_head_once(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    harness.add_versions(2, 5)
    assert harness.api.calls.count(f"read {HEAD_KEY}") == 1


def test_a_head_that_another_node_replaced_is_not_built_on(harness: StoreHarness) -> None:
    other = StoreHarness(MemoryObjectApi(harness.api.table))
    harness.commit("op-0", CREATE_SERVICE)
    other.commit("op-1", AddVersion("placements", "v2"))
    pinned = Route(name="accept", service="placements", pinned_version="v2")
    assert harness.commit("op-2", PutRoute(pinned)).version == 3
    other.commit("op-3", AddVersion("placements", "v3"))
    assert harness.commit("op-3", AddVersion("placements", "v3")).version == 4
    assert [entry[2] for entry in harness.read_audit_trail()] == ["op-3", "op-2", "op-1", "op-0"]


def send_again(harness: StoreHarness, operation_id: str) -> CommitResult:
    operation = Operation(operation_id, "asha", AddVersion("placements", "v2"))
    return harness.run(harness.store.commit(operation, deadline=FAR_DEADLINE, repeated=True))


def test_an_operation_sent_again_much_later_is_found_in_the_archive(harness: StoreHarness) -> None:
    operation_id = make_operation_id(int(harness.timer.read_unix() * 1000), Random(1))
    harness.commit("op-0", CREATE_SERVICE)
    harness.commit(operation_id, AddVersion("placements", "v2"))
    harness.add_versions(100, MAX_RECENT_RECORDS + 20)
    assert send_again(harness, operation_id).version == 2


def test_an_operation_that_cannot_be_searched_for_is_not_applied_again(
    harness: StoreHarness,
) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    harness.add_versions(100, MAX_RECENT_RECORDS + 20)
    oldest = build_audit_key(1)
    harness.api.table.delete(oldest, harness.api.table.read_revision(oldest))
    with pytest.raises(CorianderwallError) as caught:
        send_again(harness, "an-id-without-a-time")
    assert caught.value.effect is Effect.UNKNOWN
    assert len(harness.read_audit_trail()) == MAX_RECENT_RECORDS + 20
    assert harness.resolve("an-id-without-a-time").state is OperationState.UNKNOWN


def test_a_failed_repeat_leaves_the_outcome_of_the_first_attempt_unknown(
    harness: StoreHarness,
) -> None:
    async def fail_calls(kind: str, key: str) -> Fault:
        return Fault.DOWN

    harness.api.fault_hook = fail_calls
    operation = Operation("op-1", "asha", CREATE_SERVICE)
    with pytest.raises(CorianderwallError) as caught:
        harness.run(harness.store.commit(operation, deadline=10, repeated=True))
    assert caught.value.effect is Effect.UNKNOWN


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        (Fault.DOWN, ErrorCode.PLATFORM_UNAVAILABLE),
        (Fault.THROTTLED, ErrorCode.PLATFORM_THROTTLED),
    ],
)
def test_a_platform_that_refuses_until_the_deadline_had_no_effect(
    harness: StoreHarness, fault: Fault, code: ErrorCode
) -> None:
    async def inject_fault(kind: str, key: str) -> Fault:
        return fault

    harness.api.fault_hook = inject_fault
    with pytest.raises(CorianderwallError) as caught:
        harness.commit("op-1", CREATE_SERVICE, deadline=10)
    assert (caught.value.code, caught.value.effect) == (code, Effect.NONE)
    assert harness.api.table.list_keys("") == []


def test_a_refused_change_writes_nothing(harness: StoreHarness) -> None:
    with pytest.raises(CorianderwallError) as caught:
        harness.commit("op-1", PutRoute(Route(name="accept", service="placements")))
    assert caught.value.code is ErrorCode.DANGLING_REFERENCE
    assert harness.api.calls == [f"read {HEAD_KEY}", f"read {build_audit_key(1)}"]


def test_the_audit_trail_continues_in_the_archive_without_a_gap(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    harness.add_versions(2, MAX_RECENT_RECORDS + 10)
    trail = harness.read_audit_trail()
    assert [entry[:2] for entry in trail] == [
        (v - 1, v) for v in range(MAX_RECENT_RECORDS + 11, 0, -1)
    ]


def test_an_older_snapshot_is_rebuilt(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    harness.add_versions(2, 6)
    snapshot = harness.run(harness.store.read_snapshot_at(3, deadline=FAR_DEADLINE))
    assert snapshot.version == 3
    assert snapshot.services[0].versions == ("v1", "v2", "v3")
    assert harness.run(harness.store.read_snapshot_at(0, deadline=FAR_DEADLINE)) == EMPTY_SNAPSHOT


def build_large_route(number: int, value: str = "x" * 900) -> PutRoute:
    values = tuple(HeaderMatch(name=f"h{each}", value=value) for each in range(300))
    return PutRoute(Route(name=f"route-{number}", service="placements", headers=values))


def test_a_large_snapshot_is_split_joined_and_swept(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    for number in range(5):
        harness.commit(f"op-{number + 1}", build_large_route(number))
    stored = harness.run(harness.store.read_head(deadline=FAR_DEADLINE))
    assert len(stored.parts) == 2
    assert len(stored.head.snapshot.routes) == 5
    superfluous = len(harness.api.table.list_keys(PARTS_PREFIX)) - len(stored.parts)
    assert superfluous > 0
    assert harness.run(sweep_objects(harness.api, stored)) == superfluous
    assert harness.run(harness.store.read_head(deadline=FAR_DEADLINE)) == stored


def test_a_large_resource_can_be_replaced(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    for letter in "xyz":
        committed = harness.commit(f"op-{letter}", build_large_route(1, letter * 1750))
    assert len(harness.api.table.read_value(HEAD_KEY)) <= 1 << 20
    older = harness.run(
        harness.store.read_snapshot_at(committed.version - 1, deadline=FAR_DEADLINE)
    )
    assert older.routes[0].headers[0].value == "y" * 1750


def test_a_long_text_in_a_change_does_not_fill_the_head() -> None:
    end = EndMove("m1", MoveState.TAKEN_BACK, "cause", "e" * 100_000, 1, 1)
    assert len(summarise_change(end)) <= MAX_SUMMARY_CHARACTERS


def test_a_sweep_keeps_the_parts_of_a_head_that_is_being_written(harness: StoreHarness) -> None:
    harness.commit("op-0", CREATE_SERVICE)
    for number in range(3):
        harness.commit(f"op-{number + 1}", build_large_route(number))
    swept = StoreHarness(MemoryObjectApi(harness.api.table))

    async def sweep_before_head_write(kind: str, key: str) -> Fault:
        if kind == "write" and key == HEAD_KEY:
            stored = swept.run(swept.store.read_head(deadline=FAR_DEADLINE))
            swept.run(sweep_objects(swept.api, stored))
        return Fault.NONE

    harness.api.fault_hook = sweep_before_head_write
    harness.commit("op-9", build_large_route(9))
    stored = harness.run(harness.store.read_head(deadline=FAR_DEADLINE))
    assert len(stored.head.snapshot.routes) == 4


def race_operators(data: st.DataObject) -> None:
    """Interleave the calls of several operators with faults, then check the results they got."""
    timer = ManualTimer()
    waiting: list[Deferred[Fault]] = []

    def suspend_call(kind: str, key: str) -> Awaitable[Fault]:
        pending: Deferred[Fault] = Deferred()
        waiting.append(pending)
        return pending

    api = MemoryObjectApi(fault_hook=suspend_call)
    outcomes: dict[str, object] = {}
    operators = data.draw(st.integers(2, 4), label="operators")
    stores = [HeadStore(api, timer, Random(seed)) for seed in range(operators)]
    for number in range(operators + 2):
        version = AddVersion("placements", f"v{number % 3 + 2}")
        operation = Operation(f"op-{number}", "asha", CREATE_SERVICE if number == 0 else version)
        # The last two operations repeat earlier ones through another node.
        if number >= operators:
            earlier = AddVersion("placements", f"v{(number - operators) % 3 + 2}")
            operation_id = f"op-{number - operators}"
            operation = Operation(
                operation_id, "asha", CREATE_SERVICE if operation_id == "op-0" else earlier
            )
        store = stores[number % operators]
        done = Deferred.fromCoroutine(store.commit(operation, deadline=30))
        done.addBoth(lambda result, number=number: outcomes.__setitem__(str(number), result))
    faults = st.sampled_from([Fault.NONE] * 4 + list(Fault))
    for _ in range(400):
        if len(outcomes) == operators + 2:
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
    check_race(api.table, outcomes, operators)


def check_race(table: object, outcomes: dict[str, object], operators: int) -> None:
    reader = StoreHarness(MemoryObjectApi(table))
    trail = reader.read_audit_trail()
    assert [entry[:2] for entry in trail] == [(v - 1, v) for v in range(len(trail), 0, -1)]
    applied = [entry[2] for entry in trail]
    assert len(set(applied)) == len(applied)
    assert len(outcomes) == operators + 2
    results_by_operation: dict[str, list[object]] = {}
    for number, result in outcomes.items():
        original = int(number) if int(number) < operators else int(number) - operators
        results_by_operation.setdefault(f"op-{original}", []).append(result)
    for operation_id, results in results_by_operation.items():
        for result in results:
            if isinstance(result, CommitResult):
                assert (result.version - 1, result.version, operation_id) in trail
        # An operation that was sent twice may fail at one node and later succeed at the other.
        if len(results) == 1 and not isinstance(results[0], CommitResult):
            error = results[0].value
            assert isinstance(error, CorianderwallError)
            assert error.effect is Effect.UNKNOWN or operation_id not in applied


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_concurrent_operators_all_get_correct_results(data: st.DataObject) -> None:
    race_operators(data)


# Guards against a change that gets a version which the nodes have already activated.
def test_a_change_after_the_platform_lost_versions_follows_the_newest_one() -> None:
    harness = StoreHarness()
    harness.commit("op-1", CREATE_SERVICE)
    copy = harness.api.table.take_copy()
    harness.commit("op-2", AddVersion("placements", "v2"))
    harness.api.table.restore_copy(copy)
    result = harness.commit("op-3", AddVersion("placements", "v3"))
    assert result.version == 3
    assert result.head.snapshot.services[0].versions == ("v1", "v2", "v3")


def test_another_head_than_the_active_one_is_not_replaced() -> None:
    harness = StoreHarness()
    copy = harness.api.table.take_copy()
    for number, change in enumerate((CREATE_SERVICE, AddVersion("placements", "v2"))):
        harness.commit(f"op-{number}", change)
    harness.api.table.restore_copy(copy)
    other = StoreHarness(harness.api)
    other.commit("op-9", CREATE_SERVICE)
    with pytest.raises(CorianderwallError) as caught:
        harness.commit("op-5", AddVersion("placements", "v3"), deadline=5.0)
    assert caught.value.code is ErrorCode.CONFLICT
    found = decode_head(harness.api.table.read_value(HEAD_KEY))
    assert found.recent[-1].operation_id == "op-9"
