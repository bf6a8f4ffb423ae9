import difflib
import json
import os
import re
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from fleet import TOKEN, split_names

GOLDEN_FOLDER = Path(__file__).parents[1] / "golden"
REWRITE_VARIABLE = "CORIANDERWALL_REWRITE_GOLDEN"
"""If set, the golden files are rewritten instead of compared."""
COMMAND_TIMEOUT_S = 40.0

SESSION_COMMANDS = (
    "config wait --for 10",
    "service put placements --version v1",
    "service put placements",
    "version add placements v2",
    "version add placements v2",
    "version list placements",
    "route put accept --service placements --path-prefix /accept --method post",
    "route put lost --service nowhere",
    "subscriber put growers --share 2",
    "--output json subscriber list",
    "service list",
    "route list",
    "service delete placements",
    "version remove placements v1",
    "move start placements v2",
    "move start placements v2 --within 30m --id spring",
    "move status spring",
    "--output json move cancel spring",
    "config wait 4 --for 10",
    "config show",
    "config diff 3 4",
    "config history",
    "--output json audit --limit 1",
    "explain GET /nowhere",
    "--node 127.0.0.1:1 --timeout 1 config show",
)
"""Arguments of `corianderwall ctl`; the last command names a node that does not exist."""

_REPLACEMENTS = (
    (r"\b[0-9a-f]{12}-[0-9a-f]{16}\b", "OPERATION"),
    (r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ", "INSTANT"),
    (r'("unix_ms": ")\d+', r"\1MILLISECONDS"),
    (r'"time": [\d.]+', '"time": SECONDS'),
    (r'("endpoint": "\w+)\.\d+"', r'\1.INSTANCE"'),
    (r"127\.0\.0\.1:\d{4,5}", "ADDRESS"),
    (r"(no node could be reached): .* (\(effect)", r"\1: REASON \2"),
    (r"  +", "  "),
)


@given("logged nodes {names} in zones {zones}")
def start_logged_nodes(context, names, zones):
    context.names = split_names(names)
    named_zones = zip(context.names, split_names(zones), strict=True)
    context.fleet.start_hosts({name: f"zone-{zone}" for name, zone in named_zones}, keep_logs=True)
    context.fleet.wait_ready()
    for name in context.names:
        wait_for_log(context, name, "watching the platform")


@given('the log of node {name} contains "{message}"')
def wait_for_log(context, name, message):
    context.fleet.wait(lambda: f'"{message}"' in context.fleet.read_log(name), message)


@when("an operators' session runs as golden file {name}")
def run_session(context, name):
    context.golden = name
    context.transcript = [
        line for words in SESSION_COMMANDS for line in run_ctl_command(context, words)
    ]


@then("the transcript is the golden file")
def check_transcript(context):
    compare_with_golden(context.transcript, context.golden)


@then("the log of node {name} is the golden file {golden}")
def check_log(context, name, golden):
    lines = context.fleet.read_log(name).splitlines()
    assert all(json.loads(line)["node"] == name for line in lines), lines
    compare_with_golden([mask_variable_text(line) for line in lines], golden)


@then("no token and no key occurs in any log")
def check_secrets(context):
    for name in context.names:
        log = context.fleet.read_log(name)
        assert log
        assert TOKEN not in log
        assert context.fleet.keys.secret not in log


def run_ctl_command(context, words):
    environment = os.environ | {"CORIANDERWALL_TOKEN": TOKEN}
    if "--node" not in words:
        address = context.fleet.hosts["a"].file.admin
        environment["CORIANDERWALL_NODES"] = str(address)
    result = subprocess.run(
        [sys.executable, "-m", "corianderwall.app.main", "ctl", *words.split()],
        env=environment,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    yield f"$ ctl {words}"
    yield from (mask_variable_text(line) for line in result.stdout.splitlines())
    yield from (f"! {mask_variable_text(line)}" for line in result.stderr.splitlines())
    yield f"= {result.returncode}"


def mask_variable_text(line):
    for pattern, word in _REPLACEMENTS:
        line = re.sub(pattern, word, line)
    return line.rstrip()


def compare_with_golden(lines, name):
    path = GOLDEN_FOLDER / name
    if REWRITE_VARIABLE in os.environ:
        path.write_text("\n".join(lines) + "\n")
    expected = path.read_text().splitlines()
    difference = "\n".join(difflib.unified_diff(expected, lines, name, "found", lineterm=""))
    assert not difference, "\n" + difference
