import json
import re
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from configuration_steps import read_audit
from fleet import SERVICE, fetch, split_names

MOVE = "spring"
MOVE_END_TIMEOUT_S = 90.0
"""Timeout of the wait for a move's end; its recorded end is compared with the deadline."""
POLICY = {
    "steps_permille": [100, 500, 1000],
    "min_calls_per_step": 60,
    "tolerated_slowdown_percent": 400,
}
"""The slowdown is tolerated since the new version is one hop further from the entry nodes."""
CANCEL_INTERVAL_S = 0.4
"""Delay between two operators that cancel the same move."""
UNREACHED_CALL_COUNT = 200
"""Number of consecutive calls that must all avoid a version that receives no calls."""


@given("an upstream of version {version} beside nodes {names}")
def start_some_upstreams(context, version, names):
    for name in split_names(names):
        context.fleet.start_upstream(name, version, "--work-ms", "5")


@given("version {version} fails {share:g} of its calls")
@when("version {version} fails {share:g} of its calls")
def make_version_fail(context, version, share):
    rules = [{"kind": "fail", "share": share}]
    for host in context.fleet.hosts.values():
        if host.version == version:
            context.fleet.set_upstream_switches(host, rules=rules)


@when("a move to {version} within {seconds:d} s begins")
def start_move(context, version, seconds):
    response = request_move(context, version, seconds)
    assert response.status == 200, response
    context.fleet.wait(lambda: read_move(context)["share_permille"] > 0, "the first share")


@when("a move to {version} within {seconds:d} s is requested")
def try_move(context, version, seconds):
    context.response = request_move(context, version, seconds)


def request_move(context, version, seconds):
    context.deadline = int((time.time() + seconds) * 1000)
    body = {
        "move_id": MOVE,
        "service": SERVICE,
        "to_version": version,
        "deadline_unix_ms": context.deadline,
        "policy": POLICY,
    }
    return context.fleet.call_operator("a", "StartMove", body)


@when("the node that holds the move's lease is killed")
def kill_lease_holder(context):
    url = f"http://{context.fleet.platform_address}/objects/leases/moves/{MOVE}"
    holder = json.loads(fetch(url).body)["holder"]
    assert read_move(context)["state"] == "MOVE_STATE_RUNNING"
    context.fleet.hosts[holder].node.kill()
    context.names = [name for name in context.names if name != holder]


@when("{count:d} operators cancel the move through all nodes, one shortly after the other")
def race_cancels(context, count):
    started = threading.Barrier(count)

    def cancel(number):
        started.wait()
        time.sleep(number * CANCEL_INTERVAL_S)
        body = {"move_id": MOVE, "reason": f"operator-{number}"}
        return context.fleet.call_operator(context.names[number], "CancelMove", body)

    with ThreadPoolExecutor(count) as pool:
        context.results = list(pool.map(cancel, range(count)))


@then("the move ends as {state} by its deadline")
def check_end(context, state):
    check_any_end(context)
    assert context.move["state"] == "MOVE_STATE_" + state.replace(" ", "_").upper(), context.move


@then("the move ends by its deadline")
def check_any_end(context):
    deadline = time.monotonic() + MOVE_END_TIMEOUT_S
    while (move := read_move(context))["state"] == "MOVE_STATE_RUNNING":
        assert time.monotonic() < deadline, move
        time.sleep(0.2)
    assert int(move["ended_unix_ms"]) <= context.deadline, move
    assert move["cause"], move
    context.move = move


@then("the audit trail, the status and the metrics report the same single end")
def check_reported_end(context):
    ends = [record for record in read_audit(context) if is_move_end(record)]
    assert len(ends) == 1, ends
    state = context.move["state"].removeprefix("MOVE_STATE_").lower()
    context.end = ends[0]
    context.version = max(context.version, int(ends[0]["to_version"]))
    context.fleet.wait_version(context.version, context.names)
    for name in context.names:
        assert context.fleet.call_operator(name, "GetMove", {"move_id": MOVE}).json == context.move
        assert count_move_ends(context, name) == {state: 1}, (name, count_move_ends(context, name))


@then("calls no longer reach version {version}")
def check_version_unreached(context, version):
    def reaches_version():
        responses = [
            context.fleet.call(entry) for entry in ("a", "b") for _ in range(UNREACHED_CALL_COUNT)
        ]
        return any(response.headers.get("x-version") == version for response in responses)

    context.fleet.wait(lambda: not reaches_version(), f"{version} to receive no calls")


@then("every operator got the correct result of the cancellation")
def check_cancels(context):
    accepted = [result for result in context.results if result.status == 200]
    others = [result for result in context.results if result.status != 200]
    assert {(each.status, each.json["code"]) for each in others} <= {(409, "CW104")}, others
    assert all(each.json["effect"] == "EFFECT_NONE" for each in others), others
    operations = [result.json["operation_id"] for result in accepted]
    by_controller = context.end["actor"].startswith("controller:")
    assert operations == ([] if by_controller else [context.end["operation_id"]]), context.results


@then("it is refused as {code} with a reason")
def check_refusal(context, code):
    assert (context.response.status, context.response.json["code"]) == (422, code), context.response
    assert context.response.json["effect"] == "EFFECT_NONE", context.response
    assert re.search(r"needs at least [\d.]+ s and has [\d.]+ s", context.response.json["sentence"])


@then("the audit trail contains no move")
def check_no_move(context):
    assert not [record for record in read_audit(context) if "move" in record["kind"].lower()]


def is_move_end(record):
    return record["kind"].lower().replace("_", "").replace("-", "") in ("endmove", "cancelmove")


def read_move(context):
    for name in context.names:
        response = context.fleet.call_operator(name, "GetMove", {"move_id": MOVE})
        if response.status == 200:
            return response.json
    raise AssertionError(f"no node knows the move: {response}")


def count_move_ends(context, name):
    text = fetch(f"http://{context.fleet.hosts[name].file.admin}/metrics").body.decode()
    lines = [line for line in text.splitlines() if line.startswith("corianderwall_moves_ended")]
    return {re.search(r'outcome="(\w+)"', line)[1]: int(float(line.split()[-1])) for line in lines}
