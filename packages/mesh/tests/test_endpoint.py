import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from twisted.internet.defer import Deferred

from corianderwall.mesh import starts
from corianderwall.mesh.directory import Directory
from corianderwall.mesh.endpoint import Announcement, EndpointTracker
from corianderwall.mesh.messages import EndpointRecord, EndpointState, Leave, NodeRecord
from corianderwall.mesh.settings import Bounds, HostSettings
from corianderwall.model.endpoint import Address

ADDRESS = Address(host="127.0.0.1", port=8080)
INTERVAL_S = 0.04
"""Interval of the announcements in these tests."""
REUSE_DELAY_S = 0.2
"""In place of `starts.REUSE_DELAY_S`."""


def make_announcement(**fields: Any) -> Announcement:
    values: dict[str, Any] = {
        "id": "i-1",
        "service": "s",
        "version": "v1",
        "zone": "a",
        "address": ADDRESS,
        "slots": 4,
        "draining": False,
        "warm_after_s": 0.0,
        "born_unix_ms": 1000,
        "sequence": 1,
    }
    return Announcement(**(values | fields))


class Setup:
    """A tracker, and the directory of a peer that gets its records."""

    def __init__(self) -> None:
        settings = HostSettings(
            name="n1",
            zone="a",
            service="s",
            outbound=ADDRESS,
            inbound=ADDRESS,
            readiness=ADDRESS,
            announcements=ADDRESS,
            metrics=ADDRESS,
            endpoint=ADDRESS,
            bounds=Bounds(heartbeat_s=INTERVAL_S),
        )
        self.peer = Directory(
            NodeRecord(name="n2", zone="a", host="127.0.0.1", port=1, incarnation=1)
        )
        self.tracker = EndpointTracker(
            settings,
            self.count_start,
            self.send,
            lambda _: None,
            knows_service=lambda name: name == "other",
        )
        self.announce = self.tracker.handle_announcement
        self.starts = 0

    def count_start(self, record: EndpointRecord) -> None:
        self.starts += 1

    def send(self, record: EndpointRecord) -> None:
        self.peer.merge_endpoint(record, 0.0)

    @property
    def state(self) -> EndpointState:
        assert self.tracker.record is not None
        # The peer always believes what the owner decides.
        assert self.peer.endpoints[self.tracker.record.id].record == self.tracker.record
        return self.tracker.record.state

    async def repeat(self, count: int, **fields: Any) -> list[bool]:
        """Announce a start some times at the usual interval."""
        results = []
        for sequence in range(1, count + 1):
            results.append(self.announce(make_announcement(sequence=sequence, **fields)))
            await asyncio.sleep(INTERVAL_S)
        return results


def run(scenario: Callable[[Setup], Coroutine[Any, Any, None]]) -> Deferred[None]:
    async def play() -> None:
        await scenario(Setup())

    return Deferred.fromFuture(asyncio.ensure_future(play()))


@pytest.fixture(autouse=True)
def short_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(starts, "REUSE_DELAY_S", REUSE_DELAY_S)


# Guards against a drain that is acknowledged and dropped since the endpoint's clock was set back.
@pytest.mark.parametrize("identity", ["i-1", "i-2"])
def test_a_start_that_looks_earlier_is_used_and_its_drain_is_honoured(
    identity: str,
) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000, sequence=7))
        assert (await setup.repeat(3, id=identity, born_unix_ms=1000))[1:] == [True, True]
        assert setup.tracker.record is not None
        assert setup.tracker.record.announced_unix_ms == 1000
        assert setup.state is EndpointState.READY
        drain = make_announcement(id=identity, born_unix_ms=1000, sequence=4, draining=True)
        assert setup.announce(drain)
        assert setup.state is EndpointState.DRAINING

    return run(scenario)


# Guards against a sound endpoint that stays out, as a start before it had a clock that was ahead.
def test_a_start_that_looks_earlier_is_used_at_once_if_the_other_is_down() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000))
        setup.tracker.mark_down("no connection")
        assert setup.announce(make_announcement(born_unix_ms=1000))
        assert setup.state is EndpointState.READY
        # A late announcement of the start that crashed does not take its place.
        assert not setup.announce(make_announcement(born_unix_ms=3000, sequence=5))
        assert setup.tracker.record is not None
        assert setup.tracker.record.announced_unix_ms == 1000

    return run(scenario)


def test_a_drain_that_cannot_be_placed_is_not_acknowledged_and_stops_calls() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000))
        drain = make_announcement(born_unix_ms=1000, draining=True, sequence=4)
        assert not setup.announce(drain)
        assert setup.state is EndpointState.DOWN
        # The start that was thought to leave announces itself: the drain was not its own.
        assert setup.announce(make_announcement(born_unix_ms=3000, sequence=2))
        assert setup.state is EndpointState.READY
        # The start that leaves repeats it.
        assert not setup.announce(drain)
        assert setup.announce(make_announcement(born_unix_ms=1000, draining=True, sequence=5))
        assert setup.state is EndpointState.DRAINING

    return run(scenario)


def test_a_leave_notice_of_a_start_that_looks_earlier_is_honoured_or_not_acknowledged() -> (
    Deferred[None]
):
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000))
        assert not setup.tracker.handle_leave("i-1", 1000)
        assert setup.state is EndpointState.DOWN
        setup.announce(make_announcement(born_unix_ms=3000, sequence=2))
        assert setup.state is EndpointState.READY
        assert not setup.announce(make_announcement(born_unix_ms=1000))
        assert setup.tracker.handle_leave("i-1", 1000)
        assert setup.state is EndpointState.GONE
        leave = setup.tracker.find_leave("i-1")
        assert leave is not None and leave.node == "n1"

    return run(scenario)


# Guards against late announcements that undo an acknowledged leave after a step of the clock.
@pytest.mark.parametrize("restarted", [True, False])
def test_an_endpoint_that_left_is_used_again_only_after_it_has_announced_itself_for_long(
    restarted: bool,
) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000))
        assert setup.tracker.handle_leave("i-1", 3000)
        if restarted:
            leave = setup.tracker.find_leave("i-1")
            assert leave == Leave(
                endpoint="i-1", node="n1", born_unix_ms=3000, at_unix_ms=leave.at_unix_ms
            )
            setup = Setup()
            setup.tracker.restore_leave(leave)
        assert not any(await setup.repeat(3, born_unix_ms=1000))
        assert setup.state is EndpointState.GONE
        await asyncio.sleep(REUSE_DELAY_S)
        assert setup.announce(make_announcement(born_unix_ms=1000, sequence=9))
        assert setup.state is EndpointState.READY
        # The start that left is never used again, however long its announcements arrive.
        await setup.repeat(8, born_unix_ms=3000)
        assert setup.tracker.record is not None
        assert setup.tracker.record.announced_unix_ms == 1000

    return run(scenario)


# Guards against an endpoint that stays out for good by an entry that another writer has left.
def test_a_forged_leave_delays_a_sound_endpoint_but_does_not_keep_it_out() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        forged = Leave(endpoint="i-1", node="n1", born_unix_ms=2**53 - 1, at_unix_ms=1)
        setup.tracker.restore_leave(forged)
        assert not any(await setup.repeat(3))
        assert setup.state is EndpointState.GONE
        await asyncio.sleep(REUSE_DELAY_S)
        assert setup.announce(make_announcement(sequence=9))
        assert setup.state is EndpointState.READY

    return run(scenario)


# Guards against a sound endpoint that is out for good, as its clock was set back between a leave
# notice that names no start and its next start.
def test_a_leave_that_names_no_start_keeps_no_later_start_out_for_good() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        assert setup.tracker.handle_leave("i-1", None)
        assert not setup.announce(make_announcement())
        assert setup.state is EndpointState.GONE
        assert setup.tracker.find_leave("i-1") is not None
        await setup.repeat(7)
        assert setup.state is EndpointState.READY

    return run(scenario)


def test_a_leave_that_names_no_start_does_not_weaken_one_that_does() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        assert setup.tracker.handle_leave("i-1", 1000)
        assert setup.tracker.handle_leave("i-1", None)
        await setup.repeat(7)
        assert setup.state is EndpointState.GONE

    return run(scenario)


# Guards against late announcements of a crashed start that take the place of the one after it.
def test_a_start_that_was_replaced_does_not_come_back_while_the_current_one_announces_itself() -> (
    Deferred[None]
):
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000))
        await setup.repeat(3, born_unix_ms=1000)
        for sequence in range(4, 9):
            assert not setup.announce(make_announcement(born_unix_ms=3000, sequence=sequence))
            assert setup.announce(make_announcement(born_unix_ms=1000, sequence=sequence))
            await asyncio.sleep(INTERVAL_S)
        assert setup.tracker.unplaced_count >= 5

    return run(scenario)


# Guards against announcements of another writer that end the hearing of the endpoint.
@pytest.mark.parametrize(
    "changes",
    [
        {"service": "unknown", "sequence": 900},
        {"service": "other", "sequence": 900},
        {"id": "i-9", "service": "unknown", "born_unix_ms": 9_000_000},
    ],
)
def test_an_announcement_of_another_writer_is_refused(changes: dict[str, Any]) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement())
        assert not setup.announce(make_announcement(**changes))
        assert setup.announce(make_announcement(sequence=2, draining=True))
        assert setup.state is EndpointState.DRAINING

    return run(scenario)


def test_a_service_of_the_configuration_may_take_over_the_address() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement())
        other = {"id": "i-2", "service": "other", "born_unix_ms": 2000}
        assert await setup.repeat(3, **other) == [False, True, True]
        assert setup.tracker.record is not None and setup.tracker.record.service == "other"

    return run(scenario)


# Guards against calls of another service at an endpoint, and against an endpoint that is refused
# for good, after one forged announcement with a service of the configuration.
@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("changes", [{}, {"born_unix_ms": 9_000_000}, {"id": "i-9"}])
def test_one_announcement_with_another_service_changes_nothing(
    known: bool, changes: dict[str, Any]
) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        if known:
            setup.announce(make_announcement())
        former = setup.tracker.record
        assert not setup.announce(make_announcement(service="other", sequence=9, **changes))
        assert setup.tracker.record is former
        assert setup.announce(make_announcement(sequence=2))
        assert setup.tracker.record is not None
        assert (setup.tracker.record.id, setup.tracker.record.service) == ("i-1", "s")
        assert setup.state is EndpointState.READY

    return run(scenario)


def test_the_service_of_the_settings_takes_its_start_back_at_once() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        await setup.repeat(2, service="other")
        assert setup.announce(make_announcement(sequence=1))
        assert setup.tracker.record is not None and setup.tracker.record.service == "s"

    return run(scenario)


# Guards against a version or a number of slots of another writer that stays for good, as it came in
# the first announcement that a restarted node has heard.
@pytest.mark.parametrize("changes", [{"slots": 65535}, {"version": "v9"}])
def test_what_one_announcement_says_gives_way_to_what_the_start_repeats(
    changes: dict[str, Any],
) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(sequence=900, **changes))
        assert await setup.repeat(2) == [True, True]
        record = setup.tracker.record
        assert record is not None and (record.version, record.slots) == ("v1", 4)
        assert setup.state is EndpointState.READY
        # Its running calls go on.
        assert setup.starts == 1
        for sequence in (901, 3, 902):
            setup.announce(make_announcement(sequence=sequence, **changes))
            setup.announce(make_announcement(sequence=4))
        assert setup.tracker.record is record

    return run(scenario)


# Guards against a forged sequence number after which the endpoint is not heard any more.
def test_a_sequence_that_was_raised_by_another_writer_is_given_up() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(sequence=3))
        assert setup.announce(make_announcement(sequence=10**9))
        setup.tracker.mark_down("no connection")
        assert setup.announce(make_announcement(sequence=4))
        assert setup.state is EndpointState.DOWN
        assert setup.announce(make_announcement(sequence=5))
        assert setup.state is EndpointState.READY
        # A drain counts in any order, since a start that drains is never ready again.
        assert setup.announce(make_announcement(sequence=2, draining=True))
        assert setup.state is EndpointState.DRAINING
        setup.tracker.mark_down("no connection")
        assert setup.state is EndpointState.DRAINING

    return run(scenario)


# Guards against a false start with a late birth that takes the place of the endpoint for good.
@pytest.mark.parametrize("goes_on", [True, False])
def test_a_start_that_another_one_answers_for_gives_way_to_it(goes_on: bool) -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement())
        false_start = {"id": "i-9", "born_unix_ms": 9_000_000}
        assert setup.announce(make_announcement(**false_start))
        setup.tracker.refute("i-9")
        for sequence in range(2, 6):
            assert setup.announce(make_announcement(sequence=sequence))
            if goes_on:
                assert not setup.announce(make_announcement(sequence=sequence, **false_start))
            await asyncio.sleep(INTERVAL_S)
        assert setup.tracker.record is not None
        assert (setup.tracker.record.id, setup.state) == ("i-1", EndpointState.READY)

    return run(scenario)


def test_a_refuted_start_is_used_once_no_other_one_announces_itself() -> Deferred[None]:
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement())
        setup.tracker.refute("i-1")
        assert await setup.repeat(4) == [False, True, True, True]
        assert setup.state is EndpointState.READY

    return run(scenario)


# Guards against a leave that a node has acknowledged, forgotten by its next process as the start
# that left looks later than the one that this process knows.
def test_a_leave_of_a_start_that_looks_later_is_taken_over_from_an_earlier_process() -> (
    Deferred[None]
):
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000))
        await setup.repeat(3, born_unix_ms=1000)
        setup.announce(make_announcement(born_unix_ms=1000, draining=True, sequence=9))
        left = setup.tracker.record
        assert left is not None and left.born_unix_ms > 3000
        restarted = Setup()
        restarted.announce(make_announcement(born_unix_ms=1000))
        restarted.peer.merge_endpoint(left, 0.0)
        restarted.tracker.merge_record(left)
        assert restarted.state is EndpointState.DRAINING

    return run(scenario)


def test_the_peers_believe_a_restarted_node_whose_former_process_knew_a_later_birth() -> (
    Deferred[None]
):
    async def scenario(setup: Setup) -> None:
        setup.announce(make_announcement(born_unix_ms=3000))
        known = setup.tracker.record
        assert known is not None
        restarted = Setup()
        restarted.peer.merge_endpoint(known, 0.0)
        restarted.announce(make_announcement(born_unix_ms=1000))
        restarted.tracker.merge_record(known)
        assert restarted.state is EndpointState.READY
        restarted.tracker.mark_down("no connection")
        assert restarted.state is EndpointState.DOWN

    return run(scenario)
