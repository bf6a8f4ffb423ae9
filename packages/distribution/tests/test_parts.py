from dataclasses import replace

import msgspec
import pytest

from corianderwall.distribution.messages import SnapshotPart
from corianderwall.distribution.parts import Assembly, split_snapshot
from corianderwall.model.codec import compute_digest
from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import Snapshot, Subscriber


def split(snapshot: Snapshot) -> tuple[SnapshotPart, ...]:
    return split_snapshot(snapshot, compute_digest(snapshot), session=1, part_bytes=64)


@pytest.fixture
def snapshot() -> Snapshot:
    names = sorted(f"subscriber-{index * 7919 % 10007}" for index in range(50))
    return Snapshot(version=3, subscribers=tuple(Subscriber(name=name) for name in names))


def test_parts_in_any_order_and_duplicated_make_the_snapshot(snapshot: Snapshot) -> None:
    assembly = Assembly()
    parts = split(snapshot)
    assert len(parts) > 2
    made = [assembly.add(part) for part in [*parts[1:], parts[-1], parts[0]]]
    assert made[-1] == snapshot
    assert made[:-1] == [None] * len(parts)


def test_parts_of_two_snapshots_are_never_mixed(snapshot: Snapshot) -> None:
    assembly = Assembly()
    newer = split(replace(snapshot, version=4))
    older = split(snapshot)
    assert assembly.add(older[0]) is None
    made = [assembly.add(part) for part in newer]
    assert made[-1] == replace(snapshot, version=4)


def test_parts_of_an_older_snapshot_do_not_undo_the_newer(snapshot: Snapshot) -> None:
    assembly = Assembly()
    newer = split(replace(snapshot, version=4))
    made = [assembly.add(part) for part in [*newer[:-1], split(snapshot)[0], newer[-1]]]
    assert made[-1] == replace(snapshot, version=4)


def test_a_part_under_another_digest_is_refused(snapshot: Snapshot) -> None:
    parts = [msgspec.structs.replace(part, digest="0" * 32) for part in split(snapshot)]
    assembly = Assembly()
    for part in parts[:-1]:
        assembly.add(part)
    with pytest.raises(CorianderwallError) as caught:
        assembly.add(parts[-1])
    assert caught.value.code is ErrorCode.DAMAGED_UPDATE
