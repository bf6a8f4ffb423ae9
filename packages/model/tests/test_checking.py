from dataclasses import replace
from typing import Any

import pytest

from corianderwall.model.checking import FieldChange, check_snapshot
from corianderwall.model.resource import Route, Service, ServiceWeight, Snapshot, Team

KEY, OTHER_KEY = "a" * 64, "b" * 64
SERVICE = Service(name="s", max_connections=10)
ROUTE = Route(name="r", service="s", host="h", path_prefix="/a/")
TEAM = Team(name="t", key_digests=(KEY,), rate_per_s=100, burst=5)
UNWEIGHTED = ServiceWeight(service="s", weight=0)
CLEAN = Snapshot(version=2, services=(SERVICE,), routes=(ROUTE,), teams=(TEAM,))


def list_kinds(snapshot: Snapshot, in_force: Snapshot | None = None) -> list[str]:
    report = check_snapshot(snapshot, in_force, versioned=False, endpoints={"s": 10})
    return [finding.kind.value for finding in report.findings]


def test_a_sound_configuration_of_host_nodes_has_no_findings() -> None:
    """Guards against findings about versions, which services of host nodes do not have."""
    assert list_kinds(CLEAN) == []


@pytest.mark.parametrize(
    ("kind", "change"),
    [
        ("error", {"routes": (ROUTE, replace(ROUTE, name="r2", host="g", service="lost"))}),
        ("error", {"version": 1, "routes": (replace(ROUTE, priority=1),)}),
        ("never used", {"routes": (replace(ROUTE, host=""),)}),
        ("never used", {"routes": (replace(ROUTE, path_prefix="/a"),)}),
        ("never used", {"routes": (ROUTE, replace(ROUTE, name="r2", host="H"))}),
        ("never used", {"routes": (replace(ROUTE, backends=(UNWEIGHTED,)),)}),
        ("never used", {"teams": (replace(TEAM, key_digests=()),)}),
        ("never used", {"teams": (replace(TEAM, key_digests=("in the clear",)),)}),
        ("contradiction", {"routes": (replace(ROUTE, timeout_ms=999),)}),
        ("contradiction", {"services": (replace(SERVICE, warmup_per_s=6.5),)}),
        ("contradiction", {"teams": (replace(TEAM, rate_per_s=0),)}),
        ("contradiction", {"teams": (replace(TEAM, rate_per_s=101),)}),
        ("note", {"services": (SERVICE, Service(name="z"))}),
    ],
)  # fmt: skip
def test_each_fault_is_found(kind: str, change: dict[str, Any]) -> None:
    """Guards against a check that misses the one fault that it is for, or names it wrongly."""
    assert list_kinds(replace(CLEAN, **change), CLEAN if "version" in change else None) == [kind]


def test_no_key_is_in_the_report() -> None:
    """Guards against keys in a finding about them, or in the difference of a team."""
    teams = (replace(TEAM, key_digests=(OTHER_KEY,)), Team(name="u", key_digests=(OTHER_KEY,)))
    changed = replace(CLEAN, version=3, teams=teams)
    report = check_snapshot(changed, CLEAN, versioned=False, endpoints={})
    assert [each.sentence for each in report.findings] == ["teams 't' and 'u' have the same key"]
    assert report.differences is not None
    assert report.differences[0].fields == (FieldChange("keys", "1", "1, 1 of them new"),)
    assert KEY not in repr(report) and OTHER_KEY not in repr(report)
