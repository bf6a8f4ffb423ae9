import random
from collections.abc import Callable
from typing import Any

import pytest

from corianderwall.distribution.distributor import Distributor
from corianderwall.distribution.floor import FloorSearch
from corianderwall.distribution.messages import (
    NO_VERSION,
    FloorQuery,
    FloorResponse,
    HeadRequest,
    HeadResponse,
    HeldVersion,
)
from corianderwall.distribution.parts import split_snapshot
from corianderwall.distribution.settings import DistributionSettings
from corianderwall.model.codec import compute_digest
from corianderwall.model.resource import Snapshot


@pytest.fixture
def members(build_members: Callable[[str], Any]) -> Any:
    return build_members("aab")


@pytest.fixture
def search(members: Any) -> FloorSearch:
    return FloorSearch(members, DistributionSettings(), random.Random(1), 0.0)


def ask_region(search: FloorSearch) -> int:
    messages = [each.message for each in search.tick(1.5).outgoing]
    queries = [message for message in messages if isinstance(message, FloorQuery)]
    assert len(queries) == 2
    return queries[0].nonce


def make_response(nonce: int, version: int, **changes: Any) -> FloorResponse:
    fields = {"is_recovering": False, "view_digest": 1, **changes}
    return FloorResponse(nonce=nonce, version=version, **fields)


def test_the_floor_is_the_highest_of_all_hosts_of_the_region(search: FloorSearch) -> None:
    nonce = ask_region(search)
    search.record_response("h1", make_response(nonce, 4))
    assert not search.is_known
    search.record_response("h2", make_response(nonce, 5))
    assert search.floor == 5


def test_recovering_hosts_alone_do_not_set_the_floor(search: FloorSearch) -> None:
    nonce = ask_region(search)
    search.record_response("h1", make_response(nonce, NO_VERSION, is_recovering=True))
    search.record_response("h2", make_response(nonce, NO_VERSION, is_recovering=True))
    assert not search.is_known


def test_a_host_with_another_view_does_not_set_the_floor(search: FloorSearch) -> None:
    nonce = ask_region(search)
    search.record_response("h1", make_response(nonce, 4, view_digest=2))
    search.record_response("h2", make_response(nonce, 4, view_digest=2))
    assert not search.is_known


def test_a_response_to_an_earlier_process_is_ignored(search: FloorSearch) -> None:
    nonce = ask_region(search)
    search.record_head(nonce + 1, 3)
    search.record_response("h1", make_response(nonce + 1, 4))
    search.record_response("h2", make_response(nonce, 4))
    assert not search.is_known


def test_a_version_below_the_floor_is_not_activated(members: Any) -> None:
    distributor = Distributor(members, rng=random.Random(1), now=0.0)
    messages = [each.message for now in (0.5, 1.1, 1.7) for each in distributor.tick(now)]
    nonce = next(message.nonce for message in messages if isinstance(message, HeadRequest))
    distributor.handle("h1", HeadResponse(nonce, 5), 2.0)
    for version in (4, 5):
        snapshot = Snapshot(version=version)
        digest = compute_digest(snapshot)
        for part in split_snapshot(snapshot, digest, session=1, part_bytes=1000):
            distributor.handle("h1", part, 2.1)
        distributor.handle("h2", HeldVersion(1, version), 2.1)
        assert distributor.held_version == version
        assert distributor.is_ready == (version == 5)


# Guards against a restarted node that returns to an older version, because the platform came back
# from an earlier copy and its head is older than what the nodes have activated.
def test_a_watcher_answers_with_its_own_version_if_the_platform_has_an_older_head(
    members: Any,
) -> None:
    distributor = Distributor(members, rng=random.Random(1), now=0.0)
    distributor.handle_head(Snapshot(version=5), 1.0)
    distributor.handle("h1", HeadRequest(7), 2.0)
    outgoing = distributor.handle_head(Snapshot(version=3), 3.0, asked_at=2.5)
    responses = [each.message for each in outgoing if isinstance(each.message, HeadResponse)]
    assert responses == [HeadResponse(7, 5)]
    assert distributor.held_version == 5
