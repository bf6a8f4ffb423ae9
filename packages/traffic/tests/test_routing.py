from collections import Counter
from collections.abc import Mapping
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.model.resource import (
    HeaderMatch,
    Route,
    Service,
    Snapshot,
    VersionShare,
)
from corianderwall.traffic.routing import CallRequest, MatchReason, RouteTable
from corianderwall.traffic.splits import VersionSplit


def split(*shares: tuple[str, int]) -> Service:
    versions = tuple(version for version, _ in shares)
    parts = tuple(VersionShare(version=version, permille=part) for version, part in shares)
    return Service(name="gazeti", versions=versions, split=parts)


SERVICE = split(("v1", 900), ("v2", 100))


def build_table(*routes: Route) -> RouteTable:
    return RouteTable.compile(Snapshot(services=(SERVICE,), routes=routes))


def make_request(
    path: str, *, host: str = "h", method: str = "GET", headers: Mapping[str, str] | None = None
) -> CallRequest:
    return CallRequest(host, path, method, headers or {})


def match_route(table: RouteTable, request: CallRequest) -> str:
    return table.match(request, Random(1)).route


def test_the_longest_prefix_of_whole_segments_wins() -> None:
    table = build_table(
        Route(name="all", service="gazeti"),
        Route(name="notices", service="gazeti", path_prefix="/notices/"),
        Route(name="old", service="gazeti", path_prefix="/notices/old"),
    )
    assert match_route(table, make_request("/notices")) == "notices"
    assert match_route(table, make_request("/notices/old/3?x=/notices")) == "old"
    assert match_route(table, make_request("/notices/older")) == "notices"
    assert match_route(table, make_request("/noticesx")) == "all"


def test_host_headers_and_methods_narrow_a_route() -> None:
    table = build_table(
        Route(name="any", service="gazeti", path_prefix="/a/b"),
        Route(name="host", service="gazeti", host="Trust.example"),
        Route(
            name="canary",
            service="gazeti",
            path_prefix="/a/b",
            headers=(HeaderMatch(name="x-canary", value="1"),),
        ),
        Route(name="post", service="gazeti", path_prefix="/a/b", methods=("POST",)),
    )
    assert match_route(table, make_request("/a/b", host="trust.EXAMPLE.:8080")) == "host"
    assert match_route(table, make_request("/a/b", headers={"x-canary": "1"})) == "canary"
    assert match_route(table, make_request("/a/b", method="POST")) == "post"
    assert match_route(table, make_request("/a/b")) == "any"
    with pytest.raises(CorianderwallError) as caught:
        match_route(table, make_request("/c"))
    assert caught.value.code is ErrorCode.NO_ROUTE


def test_explain_gives_a_reason_for_every_route() -> None:
    table = build_table(
        Route(name="all", service="gazeti"),
        Route(name="deep", service="gazeti", path_prefix="/a/b"),
        Route(name="host", service="gazeti", host="x"),
        Route(name="post", service="gazeti", path_prefix="/a", methods=("POST",)),
        Route(name="second", service="gazeti"),
    )
    rows = {row.route: row.reason for row in table.explain(make_request("/a"))}
    assert rows == {
        "host": MatchReason.HOST,
        "deep": MatchReason.PATH,
        "post": MatchReason.METHOD,
        "all": MatchReason.CHOSEN,
        "second": MatchReason.SHADOWED,
    }


def test_explain_agrees_with_the_match() -> None:
    table = build_table(
        Route(name="a-all", service="gazeti"),
        Route(name="b-deep", service="gazeti", path_prefix="/a/b"),
        Route(name="c-header", service="gazeti", headers=(HeaderMatch(name="x", value="1"),)),
        Route(name="d-host", service="gazeti", host="h", path_prefix="/a"),
    )
    for request in (
        make_request("/a/b"),
        make_request("/a/b", host="other"),
        make_request("/", headers={"x": "1"}),
        make_request("/a/b", host="other", headers={"x": "1"}),
    ):
        chosen = [row.route for row in table.explain(request) if row.reason is MatchReason.CHOSEN]
        assert chosen == [match_route(table, request)]


@pytest.mark.parametrize(
    "path",
    [
        "/public/../admin",
        "/public/%2e%2E/admin",
        "/public/.%2e/admin",
        "/public/..;a=b/admin",
        "//admin",
        "/public//admin",
        "/public%2f..%2fadmin",
        "/public\\admin",
        "/public%5cadmin",
        "/%00admin",
        "/%252e%252e/admin",
        "/%zz",
        "/a%",
        "admin",
        "/a b",
        "/.",
        "/a;b/./c",
    ],
)
def test_an_ambiguous_path_is_refused(path: str) -> None:
    table = build_table(Route(name="all", service="gazeti"))
    with pytest.raises(CorianderwallError) as caught:
        match_route(table, make_request(path))
    assert caught.value.code is ErrorCode.MALFORMED_REQUEST


@pytest.mark.parametrize("path", ["/admin", "/%61dmin", "/admin;a=b", "/admin/x", "/admin?a"])
def test_a_protected_prefix_is_matched_in_every_spelling(path: str) -> None:
    table = build_table(
        Route(name="admin", service="gazeti", path_prefix="/admin"),
        Route(name="all", service="gazeti"),
    )
    assert match_route(table, make_request(path)) == "admin"


@settings(derandomize=True, max_examples=300)
@given(st.text(st.sampled_from("/.%2eE;a5cC\\ ~"), max_size=12))
def test_no_accepted_path_has_dot_segments(path: str) -> None:
    table = build_table(Route(name="all", service="gazeti"))
    try:
        table.match(make_request("/" + path), Random(1))
    except CorianderwallError as error:
        assert error.code is ErrorCode.MALFORMED_REQUEST
    else:
        lowered = path.lower().replace("%2e", ".")
        segments = [segment.partition(";")[0] for segment in lowered.split("/")]
        assert not {".", ".."} & set(segments)
        assert "%2f" not in lowered and "%5c" not in lowered and "\\" not in path


def test_a_route_to_a_missing_service_does_not_compile() -> None:
    snapshot = Snapshot(routes=(Route(name="a", service="none"),))
    with pytest.raises(CorianderwallError) as caught:
        RouteTable.compile(snapshot)
    assert caught.value.code is ErrorCode.DANGLING_REFERENCE


def test_versions_are_drawn_by_weight() -> None:
    table = build_table(Route(name="all", service="gazeti"))
    random = Random(7)
    drawn = Counter(table.match(make_request("/"), random).version for _ in range(10_000))
    assert 800 < drawn["v2"] < 1200


def test_a_sticky_value_moves_only_from_a_shrinking_or_to_a_growing_version() -> None:
    steps = [
        split(("v1", 900), ("v2", 100)),
        split(("v1", 500), ("v2", 500)),
        split(("v1", 300), ("v2", 500), ("v3", 200)),
        split(("v2", 500), ("v3", 500)),
    ]
    splits = [VersionSplit.compile(service) for service in steps]
    shrunk_or_grown = [({"v1"}, {"v2"}), ({"v1"}, {"v3"}), ({"v1"}, {"v3"})]
    for value in map(str, range(2_000)):
        versions = [each.hash_version(value) for each in splits]
        moves = zip(versions[:-1], versions[1:], shrunk_or_grown, strict=True)
        for before, after, (shrunk, grown) in moves:
            assert before == after or before in shrunk or after in grown
        assert versions[0] == versions[1] or versions[:2] == ["v1", "v2"]
    counted = Counter(splits[0].hash_version(str(value)) for value in range(10_000))
    assert 800 < counted["v2"] < 1200


def test_idempotence_follows_the_method_unless_the_route_states_it() -> None:
    table = build_table(
        Route(name="all", service="gazeti"),
        Route(name="search", service="gazeti", path_prefix="/search", idempotent=True),
    )
    assert table.match(make_request("/"), Random(1)).idempotent
    assert not table.match(make_request("/", method="POST"), Random(1)).idempotent
    assert table.match(make_request("/search", method="POST"), Random(1)).idempotent
