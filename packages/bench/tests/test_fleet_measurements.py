from typing import Any

import pytest

from corianderwall.bench.capacity import PageStaleError, measure, replace_tables
from corianderwall.bench.capacity_model import find_first_break, load_measured
from corianderwall.bench.control_cost import measure as measure_control_cost
from corianderwall.bench.convergence import measure as measure_convergence
from corianderwall.bench.partition import measure as measure_partition
from corianderwall.bench.recovery import find_peak
from corianderwall.bench.recovery import measure as measure_recovery

FIGURES = """[
 {"name": "bytes_per_s", "value": 3000, "unit": "B/s", "nodes": 90, "slope_per_node": 2,
  "command": "c", "seed": 1},
 {"name": "cpu_percent", "value": 0.5, "unit": "%", "nodes": 90, "slope_per_node": 0.0001,
  "command": "c", "seed": 1},
 {"name": "rss_mb", "value": 70, "unit": "MiB", "nodes": 90, "slope_per_node": 0.1,
  "command": "c", "seed": 1},
 {"name": "bytes_per_change", "value": 0, "unit": "B", "nodes": 90, "slope_per_node": 0,
  "command": "c", "seed": 1},
 {"name": "bytes_per_endpoint_event", "value": 0, "unit": "B", "nodes": 90, "slope_per_node": 0,
  "command": "c", "seed": 1},
 {"name": "bytes_per_restart", "value": 0, "unit": "B", "nodes": 90, "slope_per_node": 0,
  "command": "c", "seed": 1},
 {"name": "platform_reads_per_change", "value": 4, "unit": "reads", "nodes": 90,
  "slope_per_node": 0, "command": "c", "seed": 1},
 {"name": "platform_writes_per_change", "value": 2, "unit": "writes", "nodes": 90,
  "slope_per_node": 0, "command": "c", "seed": 1},
 {"name": "restart_reads_per_s", "value": 45, "unit": "reads/s", "nodes": 90, "slope_per_node": 0,
  "command": "c", "seed": 1},
 {"name": "move_report_bytes", "value": 100, "unit": "B", "nodes": 1, "slope_per_node": 0,
  "command": "c", "seed": 1},
 {"name": "move_report_us", "value": 50, "unit": "us", "nodes": 1, "slope_per_node": 0,
  "command": "c", "seed": 1},
 {"name": "move_judgement_ms", "value": 5, "unit": "ms", "nodes": 1, "slope_per_node": 0,
  "command": "c", "seed": 1}
]"""


@pytest.fixture
def figures(tmp_path: Any) -> Any:
    path = tmp_path / "slopes.json"
    path.write_text(FIGURES)
    return path


def test_a_change_reaches_a_virtual_fleet_at_four_reads_of_the_platform() -> None:
    point: Any = measure_convergence(["--nodes", "12", "--changes", "2"])["points"]
    assert point[0]["is_converged"]
    assert point[0]["platform_reads"] <= 4 * 2
    assert point[0]["baseline"]["platform_reads"] == 12 * 2


def test_staging_in_the_trial_ends_at_the_same_versions() -> None:
    point: Any = measure_convergence(["--nodes", "12", "--changes", "2", "--staging"])["points"]
    assert point[0]["is_converged"]


def test_regions_apart_revert_nothing_and_kill_nobody() -> None:
    result: Any = measure_partition(["--nodes", "10", "--minutes", "0.5"])
    for name in ("platform_reached_by_both", "platform_reached_by_one"):
        assert result[name]["is_converged"]
        assert result[name]["versions_reverted"] == 0
        assert result[name]["false_dead"] == 0


def test_restarted_nodes_return_without_reverting() -> None:
    points: Any = measure_recovery(["--nodes", "20"])["points"]
    restarts = [point for point in points if "restarted" in point]
    assert len(restarts) == 4
    assert all(point["is_converged"] and point["versions_reverted"] == 0 for point in restarts)
    losses = [point for point in points if "lost" in point]
    assert [point["false_dead"] for point in losses] == [0, 0, 0]


def test_the_peak_is_that_of_the_busiest_second() -> None:
    assert find_peak([0.1, 1.2, 1.3, 1.9, 2.0]) == 3


def test_control_cost_gives_the_slope_between_the_smallest_and_the_largest() -> None:
    result: Any = measure_control_cost(["--nodes", "5", "10", "--seconds", "2"])
    small, large = result["points"]
    slope = (large["bytes_per_s"] - small["bytes_per_s"]) / 5
    assert result["slopes_per_node"]["bytes_per_s"] == pytest.approx(slope, abs=0.001)


def test_the_bound_that_is_reached_first_is_named(figures: Any) -> None:
    assert find_first_break(load_measured(figures)) == ("rss_mb", 1950)


def test_a_page_that_does_not_follow_from_the_figures_is_refused(
    figures: Any, tmp_path: Any
) -> None:
    page = tmp_path / "CAPACITY.md"
    page.write_text("<!-- begin: written by `make -s measure WHAT=capacity ARGS=--write` -->x")
    arguments = ["--page", str(page), "--figures", str(figures)]
    with pytest.raises(PageStaleError):
        measure(arguments)
    page.write_text(page.read_text() + "<!-- end -->")
    with pytest.raises(PageStaleError):
        measure(arguments)
    measure([*arguments, "--write"])
    assert measure(arguments)["breaks_first"] == "rss_mb"
    changed = figures.read_text().replace('"value": 70', '"value": 71')
    figures.write_text(changed)
    with pytest.raises(PageStaleError):
        measure(arguments)


def test_writing_the_tables_twice_changes_nothing(figures: Any) -> None:
    measured = load_measured(figures)
    begin = "<!-- begin: written by `make -s measure WHAT=capacity ARGS=--write` -->"
    once = replace_tables(f"before\n{begin}\n<!-- end -->\nafter", measured)
    assert replace_tables(once, measured) == once
    assert once.startswith("before\n") and once.endswith("\nafter")
