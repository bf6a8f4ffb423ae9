from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from corianderwall.model.endpoint import Address, Endpoint, EndpointState, Locality
from corianderwall.model.outcome import AttemptOutcome
from corianderwall.model.verdict import Verdict
from corianderwall.traffic.balancer import Balancer

HOME = Locality(region="r1", zone="a")
OLD_UNIX_MS = 3_600_000
MakeEndpoint = Callable[..., Endpoint]


def make_endpoint(name: str, *, zone: str = "a", region: str = "r1", slots: int = 6) -> Endpoint:
    return Endpoint(
        name=name,
        service="s",
        version="v1",
        node=f"node-{name}",
        locality=Locality(region=region, zone=zone),
        address=Address(host="127.0.0.1", port=80),
        slots=slots,
        connections=100,
    )


def make_balancer(*endpoints: Endpoint) -> Balancer:
    balancer = Balancer(HOME, Random(5))
    for endpoint in endpoints:
        balancer.upsert(endpoint, 0.0, OLD_UNIX_MS)
    return balancer


def make_outcome(
    name: str, *, status: int = 200, latency_s: float = 0.01, refused: bool = False
) -> AttemptOutcome:
    return AttemptOutcome(
        service="s",
        version="v1",
        route="r",
        endpoint=name,
        subscriber="a",
        verdict=Verdict.NOT_RUN if refused else Verdict.RAN,
        status=status,
        latency_s=latency_s,
        refused=refused,
        outstanding=1,
    )


def choose(balancer: Balancer, now: float = 1.0, *, exclude: frozenset[str] = frozenset()) -> str:
    endpoint = balancer.choose("s", "v1", now, exclude)
    assert endpoint is not None
    return endpoint.name


def run_call(balancer: Balancer, outcome: AttemptOutcome, now: float) -> None:
    balancer.start(outcome.endpoint)
    balancer.finish(outcome, now)


def fail_times(balancer: Balancer, name: str, count: int, now: float) -> None:
    for _ in range(count):
        run_call(balancer, make_outcome(name, status=500), now)


def test_the_same_zone_is_preferred_below_the_spillover_load() -> None:
    balancer = make_balancer(make_endpoint("near"), make_endpoint("far", zone="b"))
    assert {choose(balancer) for _ in range(50)} == {"near"}


def test_calls_spill_over_by_load_and_cross_regions_last() -> None:
    balancer = make_balancer(
        make_endpoint("near"),
        make_endpoint("far", zone="b"),
        make_endpoint("abroad", zone="a", region="r2"),
    )
    chosen: Counter[str] = Counter()
    for _ in range(10):
        name = choose(balancer)
        balancer.start(name)
        chosen[name] += 1
    assert chosen["near"] >= 5 and chosen["far"] >= 4 and not chosen["abroad"]
    for _ in range(20):
        name = choose(balancer)
        balancer.start(name)
        chosen[name] += 1
    assert chosen["abroad"]


def test_a_reported_load_counts_until_it_is_old() -> None:
    balancer = make_balancer(make_endpoint("busy"), make_endpoint("idle"))
    balancer.report_load("busy", 5, 1.0)
    assert {choose(balancer, 1.1) for _ in range(50)} == {"idle"}
    assert {choose(balancer, 9.0) for _ in range(50)} == {"busy", "idle"}


def test_an_endpoint_that_underreports_its_load_is_detected_by_its_latency() -> None:
    balancer = make_balancer(make_endpoint("underreporting"), *map(make_endpoint, "bcd"))
    chosen: Counter[str] = Counter()
    for step in range(2_000):
        now = step / 100
        balancer.report_load("underreporting", 0, now)
        for name in "bcd":
            balancer.report_load(name, 2, now)
        name = choose(balancer, now)
        chosen[name] += 1
        run_call(
            balancer, make_outcome(name, latency_s=0.2 if name == "underreporting" else 0.01), now
        )
    assert chosen["underreporting"] < 2_000 / 4


def test_an_endpoint_that_fails_fast_attracts_no_calls() -> None:
    balancer = make_balancer(make_endpoint("failing"), *map(make_endpoint, "bcd"))
    failed = 0
    for step in range(2_000):
        now = step / 100
        name = choose(balancer, now)
        failed += name == "failing"
        status, latency_s = (500, 0.0001) if name == "failing" else (200, 0.01)
        run_call(balancer, make_outcome(name, status=status, latency_s=latency_s), now)
    assert failed < 2_000 * 0.02


def test_an_endpoint_that_fails_intermittently_gets_fewer_calls() -> None:
    balancer = make_balancer(make_endpoint("a"), make_endpoint("b"))
    chosen: Counter[str] = Counter()
    running: list[str] = []
    ended: Counter[str] = Counter()
    for step in range(3_000):
        name = choose(balancer, step / 100)
        chosen[name] += 1
        balancer.start(name)
        running.append(name)
        if len(running) > 6:
            done = running.pop(0)
            ended[done] += 1
            status = 500 if done == "a" and not ended["a"] % 3 else 200
            balancer.finish(make_outcome(done, status=status), step / 100)
    assert 0 < chosen["a"] < chosen["b"] / 2


def test_a_slow_endpoint_is_ejected_and_a_slow_route_is_not() -> None:
    balancer = make_balancer(*map(make_endpoint, "abcd"))
    chosen: Counter[str] = Counter()
    for step in range(2_000):
        name = choose(balancer, step / 100)
        chosen[name] += 1
        slow_route = replace(make_outcome(name, latency_s=5.0), route="archive")
        usual = make_outcome(name, latency_s=0.2 if name == "a" else 0.01)
        run_call(balancer, usual if step % 2 else slow_route, step / 100)
    assert chosen["a"] < 2_000 * 0.15
    assert min(chosen[name] for name in "bcd") > 2_000 * 0.2


def test_an_ejected_endpoint_is_probed_with_one_call_at_a_time() -> None:
    balancer = make_balancer(make_endpoint("a"), make_endpoint("b"))
    fail_times(balancer, "a", 5, 1.0)
    assert {choose(balancer, 2.0) for _ in range(50)} == {"b"}
    names = {choose(balancer, 8.0) for _ in range(50)}
    assert names == {"a", "b"}
    balancer.start("a")
    for _ in range(5):
        balancer.start("b")
    assert {choose(balancer, 8.0) for _ in range(50)} == {"b"}
    for _ in range(5):
        balancer.finish(make_outcome("b"), 8.0)
    balancer.finish(make_outcome("a", status=500), 8.1)
    assert {choose(balancer, 14.0) for _ in range(50)} == {"b"}, "the second ejection lasts longer"
    assert {choose(balancer, 21.0) for _ in range(50)} == {"a", "b"}
    for _ in range(3):
        run_call(balancer, make_outcome("a"), 21.0)
    balancer.start("a")
    balancer.start("b")
    assert {choose(balancer, 21.0) for _ in range(50)} == {"a", "b"}


def test_at_most_half_of_the_endpoints_is_ejected() -> None:
    balancer = make_balancer(*map(make_endpoint, "abcd"))
    for name in "abcd":
        fail_times(balancer, name, 20, 1.0)
    assert len({choose(balancer, 1.0) for _ in range(200)}) == 2


def test_a_single_endpoint_is_never_ejected() -> None:
    balancer = make_balancer(make_endpoint("a"))
    fail_times(balancer, "a", 50, 1.0)
    assert choose(balancer, 1.0) == "a"


def test_draining_suspected_and_excluded_endpoints_get_no_work() -> None:
    balancer = make_balancer(*map(make_endpoint, "abcd"))
    draining = replace(make_endpoint("a"), state=EndpointState.DRAINING, incarnation=1)
    balancer.upsert(draining, 1.0, OLD_UNIX_MS)
    balancer.set_suspected("b", suspected=True)
    assert {choose(balancer, exclude=frozenset("c")) for _ in range(50)} == {"d"}
    assert balancer.choose("s", "v1", 1.0, frozenset("cd")) is None
    balancer.set_suspected("b", suspected=False)
    assert choose(balancer, exclude=frozenset("cd")) == "b"


def test_an_older_announcement_is_ignored() -> None:
    balancer = make_balancer(make_endpoint("b"))
    draining = replace(make_endpoint("a"), state=EndpointState.DRAINING, incarnation=2)
    balancer.upsert(draining, 1.0, OLD_UNIX_MS)
    balancer.upsert(replace(draining, state=EndpointState.READY, incarnation=1), 1.0, OLD_UNIX_MS)
    assert {choose(balancer) for _ in range(50)} == {"b"}


def test_calls_to_a_new_endpoint_ramp_up() -> None:
    balancer = make_balancer(make_endpoint("warm"))
    cold = replace(make_endpoint("cold"), started_unix_ms=OLD_UNIX_MS)
    balancer.upsert(cold, 1.0, OLD_UNIX_MS)
    early = Counter(choose(balancer, 1.0) for _ in range(1_000))
    late = Counter(choose(balancer, 12.0) for _ in range(1_000))
    assert 0 < early["cold"] < 300 < late["cold"]


def test_a_refusing_endpoint_is_avoided_unless_all_refuse() -> None:
    balancer = make_balancer(make_endpoint("a"), make_endpoint("b"))
    run_call(balancer, make_outcome("a", status=503, refused=True), 1.0)
    assert {choose(balancer, 1.01) for _ in range(50)} == {"b"}
    run_call(balancer, make_outcome("b", status=503, refused=True), 1.0)
    assert choose(balancer, 1.01) in "ab"


def test_the_refusal_of_one_subscriber_does_not_back_off_the_endpoint() -> None:
    balancer = make_balancer(make_endpoint("a"), make_endpoint("b"))
    balancer.start("a")
    refusal = make_outcome("a", status=503, refused=True)
    balancer.finish(refusal, 1.0, retry_after_s=5.0, is_handed_over=True)
    assert {choose(balancer, 1.01) for _ in range(50)} == {"a", "b"}


def test_the_wait_at_an_owner_does_not_count_as_slowness() -> None:
    balancer = make_balancer(make_endpoint("a"), make_endpoint("b"))
    for step in range(200):
        name = choose(balancer, step / 100)
        balancer.start(name)
        late = make_outcome(name, latency_s=1.0)
        balancer.finish(
            late if name == "a" else make_outcome(name), step / 100, is_handed_over=name == "a"
        )
    chosen = Counter(choose(balancer, 2.0) for _ in range(200))
    assert min(chosen["a"], chosen["b"]) > 60


def test_a_call_over_its_share_goes_to_any_endpoint_of_the_region() -> None:
    balancer = make_balancer(
        make_endpoint("a"), make_endpoint("b", zone="b"), make_endpoint("c", region="r2")
    )
    names = [
        endpoint.name
        for _ in range(200)
        if (endpoint := balancer.choose("s", "v1", 1.0, frozenset(), frozenset("a")))
    ]
    assert Counter(names).keys() == {"a", "b"}
    assert 60 < Counter(names)["a"] < 140
    last = balancer.choose("s", "v1", 1.0, frozenset("b"), frozenset("a"))
    assert last is not None and last.name == "a"


def test_a_leased_endpoint_is_preferred_at_equal_load() -> None:
    balancer = make_balancer(make_endpoint("a"), make_endpoint("b"))
    balancer.set_leased("b", leased=True)
    chosen = Counter(choose(balancer) for _ in range(400))
    assert chosen["b"] > 300


@pytest.mark.parametrize("seed", range(5))
def test_the_choice_is_always_a_ready_endpoint_after_random_updates(seed: int) -> None:
    random = Random(seed)
    balancer = Balancer(HOME, Random(seed))
    ready: set[str] = set()
    for step in range(500):
        name = random.choice("abcdefgh")
        if random.random() < 0.4:
            balancer.remove(name)
            ready.discard(name)
        else:
            state = random.choice(list(EndpointState))
            zone = random.choice("ab")
            endpoint = replace(make_endpoint(name, zone=zone), state=state, incarnation=step)
            balancer.upsert(endpoint, step, OLD_UNIX_MS)
            ready.discard(name)
            if state is EndpointState.READY:
                ready.add(name)
        chosen = balancer.choose("s", "v1", step)
        assert (chosen is None) == (not ready)
        assert chosen is None or chosen.name in ready
