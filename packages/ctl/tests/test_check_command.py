import json
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from click.testing import CliRunner

from corianderwall.ctl.main import ctl
from corianderwall.model.codec import encode_snapshot
from corianderwall.model.resource import HeaderMatch, Route, Service, Snapshot, VersionShare
from corianderwall.traffic.routing import CallRequest, RouteTable

SERVICE = Service(name="s", versions=("v1",), split=(VersionShare(version="v1", permille=1000),))
CLEAN = Snapshot(version=2, services=(SERVICE,), routes=(Route(name="r", service="s"),))


@pytest.mark.parametrize(
    ("data", "exit_code"),
    [
        (json.dumps(json.loads(encode_snapshot(CLEAN)), indent=2).encode(), 0),
        (encode_snapshot(replace(CLEAN, services=(SERVICE, Service(name="z")))), 1),
        (b"{", 2),
    ],
)
def test_the_exit_code_tells_findings_from_unusable_input(data: bytes, exit_code: int) -> None:
    """Guards against a script that sends a configuration which was not read."""
    result = CliRunner().invoke(ctl, ["--output", "json", "check-config"], input=data)
    assert result.exit_code == exit_code
    if exit_code != 2:
        assert bool(json.loads(result.stdout)["findings"]) is bool(exit_code)


@pytest.mark.parametrize(
    ("first_change", "change"),
    [
        ({}, {}),
        ({}, {"methods": ("GET",)}),
        ({"methods": ("GET",)}, {}),
        ({}, {"path_prefix": "/a/"}),
        ({}, {"headers": (HeaderMatch(name="x", value="1"),)}),
        ({}, {"host": "g"}),
    ],
)
def test_routes_are_found_as_never_used_as_the_nodes_use_them(
    first_change: dict[str, Any], change: dict[str, Any]
) -> None:
    """Guards against an order of precedence in the check other than that of the route table."""
    base = Route(name="a", service="s", host="h", path_prefix="/a")
    other = replace(base, name="b", **change)
    snapshot = replace(CLEAN, routes=(replace(base, **first_change), other))
    method = other.methods[0] if other.methods else "POST"
    request = CallRequest(other.host, "/a", method, {"x": "1"})
    is_used = RouteTable.compile(snapshot).match(request, Random(1)).route == "b"
    result = CliRunner().invoke(ctl, ["check-config"], input=encode_snapshot(snapshot))
    assert ("route 'b' never matches" not in result.output) is is_used
