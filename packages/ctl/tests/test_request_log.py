import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from corianderwall.ctl.request_log import explain_request, read_lines, select_request_lines


def make_line(time: float, node: str, message: str, **fields: Any) -> str:
    return json.dumps({"time": time, "level": "info", "node": node, "message": message} | fields)


LINES = [
    make_line(1.0, "n2", "endpoint state", state="draining"),
    make_line(7.0, "n2", "endpoint state", state="down"),
    make_line(8.0, "n3", "endpoint state", state="gone"),
    make_line(9.2, "n1", "call ended", request="q1", status=503),
    make_line(9.1, "n2", "refused by the owner", request="q1", refusal="down"),
    make_line(9.15, "n2", "ran", request="q2"),
    make_line(9.9, "n2", "endpoint state", state="ready"),
]


def test_the_lines_of_a_request_and_state_changes_of_its_nodes_are_selected_in_order() -> None:
    selected = select_request_lines(read_lines(LINES), "q1")
    assert [(line.node, line.message) for line in selected] == [
        ("n2", "endpoint state"),
        ("n2", "refused by the owner"),
        ("n1", "call ended"),
    ]


def test_the_crashes_under_other_attempts_of_a_request_are_selected() -> None:
    lines = [
        make_line(1.0, "n8", "the endpoint ended while it ran calls", calls=["q4 f1", "q5 f2"]),
        make_line(2.0, "n8", "the endpoint ended while it ran calls", calls=["q6 f2"]),
        make_line(9.0, "n1", "call ended", request="q7", cause="quarantined", fingerprint="f1"),
        make_line(9.1, "n1", "call ended", request="q8", cause="answered", fingerprint=""),
    ]
    selected = select_request_lines(read_lines(lines), "q7")
    assert [line.time for line in selected] == [1.0, 9.0]
    assert [line.time for line in select_request_lines(read_lines(lines), "q5")] == []
    assert [line.time for line in select_request_lines(read_lines(lines), "q8")] == [9.1]


def test_text_other_than_log_lines_is_ignored() -> None:
    texts = ["plain text", "{broken", "[1]", '{"a": 1}', "  12.5 node-1 " + LINES[3]]
    assert [line.request for line in read_lines(texts)] == ["q1"]


def test_the_command_prints_the_lines_or_fails_if_there_are_none(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    log.write_text("\n".join(LINES))
    found = CliRunner().invoke(explain_request, ["q1", str(log)])
    assert found.exit_code == 0
    assert "* 9.200 n1 call ended: status=503" in found.output
    missing = CliRunner().invoke(explain_request, ["q9", str(log)])
    assert missing.exit_code == 1
    assert "none of 7 lines belongs to the request q9" in missing.output
