from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from fleet import SERVICE, split_names


@given("nodes {names} in zones {zones}")
def start_nodes(context, names, zones):
    context.names = split_names(names)
    named_zones = zip(context.names, split_names(zones), strict=True)
    context.fleet.start_hosts({name: f"zone-{zone}" for name, zone in named_zones})


@given("an upstream of version {version} beside each")
def start_upstreams(context, version):
    for name in context.names:
        context.fleet.start_upstream(name, version)


@given("the service and its route are active")
def configure(context):
    context.fleet.wait_ready()
    service = {
        "name": SERVICE,
        "versions": ["v1", "v2"],
        "split": [{"version": "v1", "permille": 1000}],
    }
    change(context, "PutService", {"service": service})
    route = {"name": "all", "service": SERVICE, "path_prefix": "/"}
    context.version = change(context, "PutRoute", {"route": route}).json["version"]
    context.fleet.wait_version(context.version)
    for name in context.names:
        context.fleet.wait(lambda name=name: context.fleet.call(name).status == 200, "first call")


@when("a caller calls every node")
def call_every_node(context):
    context.responses = [context.fleet.call(name) for name in context.names for _ in range(5)]


@then("every call gets a response from version {version}")
def check_version(context, version):
    found = {(response.status, response.headers.get("x-version")) for response in context.responses}
    assert found == {(200, version)}, found


@when("the platform goes down")
def stop_platform(context):
    context.fleet.set_platform_switches(down=True)


@when("the platform comes back")
def resume_platform(context):
    context.fleet.set_platform_switches(down=False)


@when("the platform loses its next {count:d} responses to writes")
def lose_responses(context, count):
    context.fleet.set_platform_switches(lost_answers=count)


@then("a change through node {name} fails without effect")
def check_refused_change(context, name):
    response = put_subscriber(context, name, "refused")
    assert response.status == 503, response
    assert response.json["effect"] == "EFFECT_NONE", response


@then("a change through node {name} is active on every node")
def check_change(context, name):
    context.fleet.wait(
        lambda: put_subscriber(context, name, "accepted").status == 200, "the change to be accepted"
    )
    context.version += 1
    context.fleet.wait_version(context.version)


@when("a change is made through node {name}")
def make_change(context, name):
    response = put_subscriber(context, name, "accepted")
    assert response.status == 200, response
    context.version = response.json["version"]


@when("node {name} is killed and restarted")
def restart_node(context, name):
    context.fleet.read_version(name)
    context.fleet.restart_node(name)


@when("all nodes are killed and restarted")
def restart_all(context):
    for name in context.names:
        context.fleet.read_version(name)
        context.fleet.hosts[name].node.kill()
    for name in context.names:
        context.fleet.restart_node(name)


@then("node {name} serves the version it had")
def check_node_version(context, name):
    context.fleet.wait_ready([name])
    context.fleet.wait(lambda: context.fleet.call(name).status == 200, f"{name} to serve calls")


@then("every node serves the version it had")
def check_all_versions(context):
    for name in context.names:
        check_node_version(context, name)


@then("no node ever showed an older version")
def check_monotonic(context):
    for name, versions in context.fleet.versions_seen.items():
        assert versions == sorted(versions), (name, versions)
        assert versions[-1] >= context.version, (name, versions)


@then("the change is in the audit trail once")
def check_audit_once(context):
    records = read_audit(context)
    kinds = [record["summary"] for record in records if "accepted" in record["summary"]]
    assert len(kinds) == 1, records


@when("{count:d} operators change the configuration through all nodes at once")
def race_operators(context, count):
    def race(number):
        name = context.names[number % len(context.names)]
        return put_subscriber(context, name, f"racer-{number}")

    with ThreadPoolExecutor(count) as pool:
        context.results = list(pool.map(race, range(count)))


@then("every accepted change is in the audit trail once")
def check_race(context):
    accepted = [result.json["operation_id"] for result in context.results if result.status == 200]
    audited = [record["operation_id"] for record in read_audit(context)]
    assert accepted
    assert all(audited.count(operation) == 1 for operation in accepted), (accepted, audited)
    versions = [record["to_version"] for record in read_audit(context)]
    assert versions == list(range(len(versions), 0, -1)), versions
    context.version = versions[0]


@then("the newest version is active on every node")
def check_newest(context):
    context.fleet.wait_version(context.version)


@when("node {name} is paused")
def pause_node(context, name):
    context.fleet.read_version(name)
    context.fleet.pause_node(name)


@when("node {name} is resumed")
def resume_node(context, name):
    context.fleet.resume_node(name)


@when("a client with a wrong token makes a change through node {name}")
def make_unauthorized_change(context, name):
    body = {"subscriber": {"name": "stranger", "share": 1}}
    context.response = context.fleet.call_operator(
        name, "PutSubscriber", body, token="a-token-of-somebody-else"
    )


@then("it is refused as unauthenticated")
def check_unauthenticated(context):
    assert (context.response.status, context.response.json["code"]) == (
        401,
        "CW200",
    ), context.response


def change(context, method, body):
    response = context.fleet.call_operator(context.names[0], method, body)
    assert response.status == 200, response
    return response


def put_subscriber(context, node, name):
    return context.fleet.call_operator(
        node, "PutSubscriber", {"subscriber": {"name": name, "share": 2}}
    )


def read_audit(context):
    response = context.fleet.call_operator(context.names[0], "ListAudit", {"limit": 100})
    return response.json["records"]
