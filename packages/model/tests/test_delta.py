from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.model.codec import compute_digest, decode_snapshot, encode_snapshot
from corianderwall.model.delta import apply_delta, compute_delta
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Snapshot, Subscriber, Team

names = st.sampled_from("abcdefgh")


@st.composite
def snapshots(draw: st.DrawFn) -> Snapshot:
    shares = draw(st.dictionaries(names, st.integers(1, 9)))
    subscribers = tuple(Subscriber(name=name, share=shares[name]) for name in sorted(shares))
    priorities = draw(st.dictionaries(names, st.integers(0, 3)))
    teams = tuple(Team(name=name, priority=priorities[name]) for name in sorted(priorities))
    return Snapshot(version=draw(st.integers(0, 99)), subscribers=subscribers, teams=teams)


@settings(derandomize=True)
@given(snapshots(), snapshots())
def test_applying_a_delta_gives_the_result(base: Snapshot, result: Snapshot) -> None:
    assert apply_delta(base, compute_delta(base, result)) == result


@settings(derandomize=True)
@given(snapshots())
def test_a_snapshot_survives_encoding(snapshot: Snapshot) -> None:
    assert decode_snapshot(encode_snapshot(snapshot)) == snapshot


def test_a_delta_for_another_base_is_refused() -> None:
    delta = compute_delta(Snapshot(version=1), Snapshot(version=2))
    with pytest.raises(CorianderwallError) as caught:
        apply_delta(Snapshot(version=3), delta)
    assert caught.value.code is ErrorCode.DAMAGED_UPDATE


def test_a_damaged_delta_is_refused() -> None:
    result = Snapshot(version=2, subscribers=(Subscriber(name="a"),))
    delta = compute_delta(Snapshot(version=1), result)
    damaged = replace(delta, changed=replace(delta.changed, subscribers=()))
    with pytest.raises(CorianderwallError):
        apply_delta(Snapshot(version=1), damaged)


@settings(derandomize=True)
@given(st.binary(max_size=64))
def test_random_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(CorianderwallError) as caught:
        decode_snapshot(data)
    assert caught.value.code is ErrorCode.DAMAGED_UPDATE


@pytest.mark.parametrize("data", [b"{}", b'{"version":1}', b' {"version":1,"services":[]}'])
def test_json_that_is_not_canonical_is_refused(data: bytes) -> None:
    with pytest.raises(CorianderwallError) as caught:
        decode_snapshot(data)
    assert caught.value.code is ErrorCode.DAMAGED_UPDATE


def test_equal_snapshots_have_equal_digests() -> None:
    subscriber = Subscriber(name="a", share=2)
    first = Snapshot(version=1, subscribers=(subscriber,))
    second = decode_snapshot(encode_snapshot(first))
    assert compute_digest(first) == compute_digest(second)
