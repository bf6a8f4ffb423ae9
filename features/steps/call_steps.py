import json
import time
from signal import SIGSTOP, SIGTERM

from behave import given, then, when
from fleet import Callers, fetch, split_names

CALLING_TIME_S = 1.0
"""Time for which callers call before and after a fault."""


@given("callers call nodes {names} continuously")
@when("callers call nodes {names} continuously")
def start_calling(context, names):
    context.callers = Callers(context.fleet, split_names(names))
    time.sleep(CALLING_TIME_S)


@when("callers post to nodes {names} continuously")
def start_posting(context, names):
    context.callers = Callers(context.fleet, split_names(names), method="POST")
    time.sleep(CALLING_TIME_S)


@when("node {name} is sent SIGTERM")
def terminate_node(context, name):
    context.fleet.terminate_node(name)


@then("node {name} exits with {code:d}")
def check_node_exit(context, name, code):
    assert context.fleet.hosts[name].node.wait() == code


@when("the upstream beside node {name} is sent SIGTERM")
def terminate_upstream(context, name):
    context.fleet.hosts[name].upstream.signal(SIGTERM)


@then("the upstream beside node {name} exits with {code:d}")
def check_upstream_exit(context, name, code):
    assert context.fleet.hosts[name].upstream.wait() == code


@then("every call got status {status:d}")
def check_statuses(context, status):
    responses = context.callers.stop()
    wrong = [response for response in responses if response.status != status]
    assert len(responses) > 100, len(responses)
    assert not wrong, (len(wrong), wrong[:3])


@when("node {name} is killed")
def kill_node(context, name):
    context.fleet.hosts[name].node.kill()
    time.sleep(CALLING_TIME_S)


@when("the upstream beside node {name} is killed")
def kill_upstream(context, name):
    context.fleet.hosts[name].upstream.kill()
    time.sleep(CALLING_TIME_S)


@then("every response states correctly whether the call ran")
def check_verdicts(context):
    context.responses = context.callers.stop()
    for response in context.responses:
        assert response.status in (200, 502, 503, 504), response
        if response.status == 200:
            continue
        reported_not_run = response.headers.get("x-not-run") == "1"
        reported_unknown = response.headers.get("x-verdict") == "may_have_run"
        assert reported_not_run != reported_unknown, response
    assert sum(response.status == 200 for response in context.responses) > 100


@then("nothing ran twice")
def check_executions(context):
    executions = {}
    for host in context.fleet.hosts.values():
        response = fetch(f"http://{host.upstream_address}/standin/executions")
        for call_id, count in (json.loads(response.body) if response.status == 200 else {}).items():
            executions[call_id] = executions.get(call_id, 0) + count
    repeated = {call_id: count for call_id, count in executions.items() if count > 1}
    assert executions
    assert not repeated, repeated


@then("calls get status {status:d} again")
def check_recovered(context, status):
    for name in ("a", "b"):
        context.fleet.wait(
            lambda name=name: all(context.fleet.call(name).status == status for _ in range(5)),
            f"{name} to respond with {status}",
        )


@when("the upstream beside node {name} stops announcing itself")
def freeze_upstream(context, name):
    context.fleet.hosts[name].upstream.signal(SIGSTOP)


@then("calls no longer reach the upstream beside node {name}")
def check_unreached(context, name):
    def lists_endpoint():
        response = context.fleet.call_operator("a", "ListEndpoints", {})
        return any(each["node"] == name for each in response.json["endpoints"])

    context.fleet.wait(lambda: not lists_endpoint(), "the endpoint to be withdrawn")
    responses = [context.fleet.call(entry) for entry in ("a", "b") for _ in range(20)]
    assert {response.status for response in responses} == {200}
