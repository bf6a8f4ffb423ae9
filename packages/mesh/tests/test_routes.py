from corianderwall.mesh.routes import RouteTable
from corianderwall.model.resource import Route, ServiceWeight, Snapshot, list_backends


def make_table(*prefixes: str) -> RouteTable:
    routes = tuple(
        Route(name=prefix, service="s", host="h.example", path_prefix=prefix) for prefix in prefixes
    )
    return RouteTable.compile(Snapshot(version=3, routes=routes))


def match(table: RouteTable, target: str, host: str = "h.example") -> str | None:
    route = table.match(host, target)
    return route.name if route is not None else None


def test_the_longest_prefix_that_begins_the_path_wins() -> None:
    table = make_table("/a/", "/a/b/")
    assert match(table, "/a/b/c") == "/a/b/"
    assert match(table, "/a/bc") == "/a/"


def test_a_path_without_the_last_slash_of_a_prefix_does_not_match_it() -> None:
    assert match(make_table("/a/"), "/a") is None


def test_the_query_is_ignored() -> None:
    assert match(make_table("/a/", "/a/b/"), "/a/x?y=/a/b/") == "/a/"


def test_the_host_matches_in_any_case_and_with_a_port() -> None:
    table = make_table("/a/")
    assert match(table, "/a/x", "H.Example") == "/a/"
    assert match(table, "/a/x", "h.example:8080") == "/a/"
    assert match(table, "/a/x", "other.example") is None


def test_the_root_prefix_matches_all_other_paths() -> None:
    assert match(make_table("/", "/a/"), "/zzz") == "/"


def test_a_route_without_backends_has_its_service_as_the_only_one() -> None:
    route = Route(name="r", service="s")
    assert list_backends(route) == (ServiceWeight(service="s", weight=1),)
