import time

from behave import given, then, when
from call_steps import STREAM_S
from fleet import fetch, split_words

HANG_FAULTS = ("hang", "hang-run", "close-run")


@given("an upstream of version {version} beside each, behind a path that can fall silent")
def start_upstreams_with_path(context, version):
    for name in context.names:
        context.fleet.start_upstream(name, version, "--with-path")


@given("the upstream beside node {name} hangs or breaks off at {share:g} of its calls")
def make_upstream_faulty(context, name, share):
    shares = {fault: share / len(HANG_FAULTS) for fault in HANG_FAULTS}
    context.fleet.switch_upstream(context.fleet.hosts[name], fault_shares=shares)


@when("nodes {names} are killed together")
def kill_nodes(context, names):
    for name in split_words(names):
        context.fleet.hosts[name].node.kill()
    time.sleep(STREAM_S)


@when("the open connections to the upstream beside node {name} fall silent")
def silence_upstream(context, name):
    host = context.fleet.hosts[name]
    assert context.fleet.read_counts(name)["connections"] > 1
    # The connection that asks falls silent too, so its answer is lost.
    url = f"http://{host.upstream_address}/standin/silence"
    assert fetch(url, method="POST", timeout_s=STREAM_S).status == 0
    context.calls_before = context.fleet.read_counts(name)["executions"]


@then("calls reach the upstream beside node {name} again")
def check_reached(context, name):
    context.fleet.wait(
        lambda: context.fleet.read_counts(name)["executions"] > context.calls_before + 20,
        "calls reach the upstream on new connections",
    )


@then("some calls are answered with {status:d}")
def wait_for_status(context, status):
    responses = context.callers.responses
    context.fleet.wait(lambda: any(response.status == status for response in responses), status)
