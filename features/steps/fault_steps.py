import time

from behave import given, then, when
from call_steps import CALLING_TIME_S
from fleet import fetch, split_names

INTERRUPTING_FAULTS = ("hang", "hang-run", "close-run")


@given("an upstream of version {version} beside each, behind a relay that can be silenced")
def start_upstreams_with_path(context, version):
    for name in context.names:
        context.fleet.start_upstream(name, version, "--with-path")


@given("the upstream beside node {name} hangs or closes the connection on {share:g} of its calls")
def make_upstream_faulty(context, name, share):
    shares = {fault: share / len(INTERRUPTING_FAULTS) for fault in INTERRUPTING_FAULTS}
    context.fleet.set_upstream_switches(context.fleet.hosts[name], fault_shares=shares)


@when("nodes {names} are killed together")
def kill_nodes(context, names):
    for name in split_names(names):
        context.fleet.hosts[name].node.kill()
    time.sleep(CALLING_TIME_S)


@when("the open connections to the upstream beside node {name} are silenced")
def silence_upstream(context, name):
    host = context.fleet.hosts[name]
    assert context.fleet.read_counts(name)["connections"] > 1
    # The connection of this request is silenced too, so its response is lost.
    url = f"http://{host.upstream_address}/standin/silence"
    assert fetch(url, method="POST", timeout_s=CALLING_TIME_S).status == 0
    context.calls_before = context.fleet.read_counts(name)["executions"]


@then("calls reach the upstream beside node {name} again")
def check_reached(context, name):
    context.fleet.wait(
        lambda: context.fleet.read_counts(name)["executions"] > context.calls_before + 20,
        "calls on new connections to the upstream",
    )


@then("some calls get status {status:d}")
def wait_for_status(context, status):
    responses = context.callers.responses
    context.fleet.wait(lambda: any(response.status == status for response in responses), status)
