import random

import pytest

from corianderwall.model.change import (
    AddVersion,
    AdvanceMove,
    EndMove,
    PutService,
    StartMove,
    apply_change,
)
from corianderwall.model.endpoint import Address, Endpoint, Locality
from corianderwall.model.resource import (
    EMPTY_SNAPSHOT,
    MovePolicy,
    MoveState,
    Service,
    VersionShare,
)
from corianderwall.moves.agent import Members, MoveAgent
from corianderwall.moves.control import HeldLease
from corianderwall.moves.messages import Cut, EvidenceReport

START = 1_000_000
NODES = ("n0", "n1", "n2", "n3")
LEASE = HeldLease(fencing=1, expires_at=1e9)


@pytest.fixture
def snapshot():
    split = (VersionShare(version="v1", permille=1000),)
    service = Service(name="placements", versions=("v1",), split=split)
    started = apply_change(EMPTY_SNAPSHOT, PutService(service))
    started = apply_change(started, AddVersion("placements", "v2"))
    policy = MovePolicy(min_calls_per_step=60)
    start = StartMove("m1", "placements", "v2", START, START + 200_000, policy)
    return apply_change(apply_change(started, start), AdvanceMove("m1", 1, 200, 1, START))


@pytest.fixture
def agents(snapshot):
    endpoints = tuple(
        Endpoint(
            name=f"{version}-{index}",
            service="placements",
            version=version,
            node=f"n{index}",
            locality=Locality(region="r", zone=f"z{index}"),
            address=Address(host="127.0.0.1", port=1),
            slots=12,
            connections=130,
        )
        for version in ("v1", "v2")
        for index in range(4)
    )
    agents = {}
    for node in NODES:
        agents[node] = MoveAgent(node, 1, random.Random(node))
        agents[node].update_members(Members(nodes=NODES, endpoints=endpoints))
        agents[node].update_snapshot(snapshot)
    return agents


@pytest.fixture
def send(agents, create_outcome):
    rng = random.Random(8)

    def send(node, calls, failing=0.0):
        """Send calls through a node; the new version fails at the rate `failing`."""
        chosen = []
        for index in range(calls):
            version = agents[node].choose_version("placements")
            is_failed = version == "v2" and rng.random() < failing
            agents[node].record(
                create_outcome(
                    version=version,
                    endpoint=f"{version}-{index % 4}",
                    subscriber=f"s{index % 7}",
                    status=500 if is_failed else 200,
                    latency_s=0.03 * rng.lognormvariate(0, 0.4),
                )
            )
            chosen.append(version)
        return chosen

    return send


@pytest.fixture
def exchange(agents):
    def exchange(outgoing, lost=()):
        """Deliver messages and responses, except to `lost` nodes, and return all of them."""
        delivered = []
        while outgoing:
            delivered.extend(outgoing)
            alive = [each for each in outgoing if each.peer not in lost]
            outgoing = [
                response
                for each in alive
                for response in agents[each.peer].handle_message(each.message)
            ]
        return delivered

    return exchange


def test_strong_local_evidence_cuts_at_once_and_the_cut_is_forwarded(agents, send, exchange):
    send("n0", 300, failing=0.9)
    outgoing = agents["n0"].tick(1.0, START + 1000)
    assert "v2" not in send("n0", 100)
    assert any(isinstance(each.message, Cut) for each in outgoing)
    exchange(outgoing)
    assert all("v2" not in send(node, 100) for node in NODES)


def test_weak_evidence_of_two_nodes_cuts_when_it_is_merged(agents, send, exchange):
    aggregator = agents["n0"].list_aggregators("m1")[0]
    reporters = [node for node in NODES if not agents[node].is_aggregator("m1")]
    reports = []
    for node in reporters:
        send(node, 22, failing=1.0)
        reports.extend(agents[node].tick(1.0, START + 1000))
    assert len(reporters) == 2
    assert not any(isinstance(each.message, Cut) for each in reports)
    exchange(reports)
    exchange(agents[aggregator].tick(1.5, START + 1500))
    assert all(agent.cuts.is_cut("m1") for agent in agents.values())


def test_a_cut_holds_without_controller_and_aggregators(agents, send, exchange):
    dead = agents["n0"].list_aggregators("m1")
    alive = [node for node in NODES if node not in dead]
    send(alive[0], 300, failing=0.9)
    exchange(agents[alive[0]].tick(1.0, START + 1000), lost=dead)
    assert "v2" not in send(alive[1], 100)


def test_a_step_that_was_written_before_the_cut_was_known_does_not_revoke_it(
    agents, send, exchange, snapshot
):
    send("n0", 300, failing=0.9)
    exchange(agents["n0"].tick(1.0, START + 1000))
    advanced = apply_change(snapshot, AdvanceMove("m1", 2, 1000, 1, START + 1500))
    for agent in agents.values():
        agent.update_snapshot(advanced)
    assert all("v2" not in send(node, 100) for node in NODES)


def test_the_controller_writes_a_cut_as_the_end_of_the_move(agents, send, exchange, snapshot):
    send("n0", 300, failing=0.9)
    exchange(agents["n0"].tick(1.0, START + 1000))
    for agent in agents.values():
        change = agent.decide("m1", LEASE, 5.0, 2.0, START + 2000)
        assert isinstance(change, EndMove)
        assert change.state is MoveState.TAKEN_BACK
    ended = apply_change(snapshot, change)
    agents["n1"].update_snapshot(ended)
    assert agents["n1"].choose_version("placements") == ""
    assert agents["n1"].decide("m1", LEASE, 5.0, 3.0, START + 3000) is None


def test_while_the_platform_is_down_the_share_stays_and_the_change_is_repeated(agents, send):
    node = agents["n0"].list_aggregators("m1")[0]
    changes = []
    for second in range(1, 30):
        chosen = send(node, 100)
        assert chosen.count("v2") == pytest.approx(20, abs=1)
        agents[node].tick(second, START + second * 1000)
        changes.append(agents[node].decide("m1", LEASE, 5.0, second, START + second * 1000))
    steps = {change.step for change in changes if change is not None}
    assert steps == {2}


def test_reports_of_a_node_reach_the_aggregators_and_are_acknowledged(agents, send, exchange):
    reporter = next(n for n in NODES if not agents[n].is_aggregator("m1"))
    send(reporter, 50)
    messages = exchange(agents[reporter].tick(1.0, START + 1000))
    assert sum(isinstance(each.message, EvidenceReport) for each in messages) == 2
    assert not [
        each
        for each in agents[reporter].tick(5.0, START + 5000)
        if isinstance(each.message, EvidenceReport)
    ]


def test_messages_about_unknown_moves_are_ignored(agents):
    report = EvidenceReport(move_id="m9", node="n1", incarnation=1, sequence=1, names=(), cells=())
    assert all(agent.handle_message(report) == [] for agent in agents.values())
