import time

from behave import given, then, when
from call_steps import CALLING_TIME_S
from fleet import fetch, split_names

CRASHING_CALL = {"path": "/placements/crash", "headers": {"x-fault": "crash"}}
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


@when("a request that ends its upstream is sent to nodes {names} {times:d} times")
def send_crashing_calls(context, names, times):
    context.ended_upstreams = 0
    entries = split_names(names)
    for number in range(times):
        response = context.fleet.call(entries[number % len(entries)], **CRASHING_CALL)
        assert response.status in (502, 503), response
        context.ended_upstreams += restart_ended_upstreams(context.fleet)


def restart_ended_upstreams(fleet):
    """Start the upstreams that have ended again, and return how many they were."""
    ended = [name for name, host in fleet.hosts.items() if host.upstream.has_ended]
    for name in ended:
        host = fleet.hosts[name]
        host.upstream.kill()
        fleet.start_upstream(name, host.version, "--port", str(host.upstream_address.port))
    return len(ended)


@then("at most {count:d} upstreams have ended")
def check_ended_upstreams(context, count):
    assert 3 <= context.ended_upstreams <= count, context.ended_upstreams


@then("the request is refused as not run at nodes {names}")
def check_quarantine(context, names):
    for name in split_names(names):
        response = context.fleet.call(name, **CRASHING_CALL)
        assert response.json["code"] == "CW409", response
        assert response.headers.get("x-not-run") == "1", response
