"""Guards the rules by which buckets, parts and credits never add up to more than a quota."""

from random import Random

import pytest

from corianderwall.mesh.quota import (
    CREDIT_S,
    LEASE_S,
    SETTLE_S,
    CreditRequest,
    LeaseRequest,
    Pool,
    Quota,
    TeamDemand,
    make_quotas,
)
from corianderwall.mesh.quotaholder import ENTRY_LIMITS, CreditHolder
from corianderwall.mesh.quotalease import PartLease, Roles, choose_roles
from corianderwall.mesh.settings import Bounds
from corianderwall.model.resource import Team

QUOTA = Quota(rate_per_s=10.0, burst=100.0)


def make_pool(nodes: int, *, name: str = "l", quota: Quota = QUOTA) -> Pool:
    pool = Pool(name, 1, 0.0, Random(1))
    pool.set_nodes(nodes, 0.0)
    pool.set_quotas({"t": quota}, 0.0)
    return pool


def ask(pool: Pool, number: int, now: float, **demand: int) -> int:
    """Ask for credits as the node `h` and return how many it gets."""
    teams = (TeamDemand(team="t", **demand),)
    reply = pool.answer(CreditRequest(sender="h", incarnation=1, number=number, teams=teams), now)
    assert reply is not None
    return reply.grants[0].count


def delegate(pool: Pool, number: int, now: float, *, incarnation: int = 1, stamp: float) -> None:
    pool.renew(
        LeaseRequest(
            sender="h",
            incarnation=incarnation,
            number=number,
            nodes=4,
            lender_incarnation=1,
            stamp=stamp,
            delegates=True,
        ),
        now,
    )


def test_lent_credits_keep_the_bucket_from_filling_until_they_are_used_or_lapse() -> None:
    # A bucket that fills while its content is lent would pass twice the burst.
    pool = make_pool(1)
    pool.add_own(0.0)
    assert ask(pool, 1, 20.0, need=200) == 100
    assert ask(pool, 2, 20.0 + CREDIT_S - 0.01, need=200) == 0
    assert ask(pool, 3, 20.0 + CREDIT_S + 2.0, need=200) == 20
    assert ask(pool, 4, 22.1 + CREDIT_S, used=20) == 0
    assert ask(pool, 5, 23.1 + CREDIT_S, need=200) == 11


def test_a_repeated_request_gets_the_same_credits_and_returns_none_twice() -> None:
    pool = make_pool(1)
    pool.add_own(0.0)
    assert ask(pool, 1, 20.0, need=50) == 50
    assert ask(pool, 1, 20.0, need=50) == 50
    assert ask(pool, 2, 20.0, returned=50) == 0
    assert ask(pool, 2, 20.0, returned=50) == 0
    assert ask(pool, 3, 20.0, need=200) == 100


def test_a_late_delegation_gives_a_lender_no_more_than_its_giver_grants() -> None:
    # A lender that was frozen reads an old message; its giver uses the part again by then.
    pool = make_pool(4)
    delegate(pool, 1, 10.0, stamp=10.0 - LEASE_S)
    assert pool.parts == 0
    delegate(pool, 2, 10.0, stamp=9.0)
    assert pool.parts == 1
    pool.expire(9.0 + LEASE_S)
    assert pool.parts == 0


def test_a_frozen_lender_gains_nothing_for_parts_that_ended_meanwhile() -> None:
    pool = make_pool(4)
    delegate(pool, 1, 10.0, stamp=10.0)
    assert ask(pool, 1, 100.0, need=99) == 0


def test_a_restarted_node_ends_the_delegation_of_its_former_process() -> None:
    pool = make_pool(4)
    delegate(pool, 1, 10.0, stamp=10.0)
    pool.end_former("h", 2, 10.5)
    assert pool.parts == 0


def test_a_part_is_used_here_only_after_the_lease_at_the_lender() -> None:
    own, lender = make_pool(2, name="h"), make_pool(2)
    lease = PartLease("h", 1, -100.0, own)
    lease.nodes = 2
    lease.roles = Roles("h", "l", ("l",), ("l",), {"l": 1})
    for now in (10.0, 10.1):
        for _, request in lease.plan(now):
            lease.apply_reply("l", lender.renew(request, now), now)
    assert (lender.parts, own.parts) == (1, 0)
    lease.roles = Roles("h", "h", ("h",), ("h",), {})
    lease.plan(10.0 + LEASE_S)
    assert own.parts == 0
    lender.expire(10.0 + LEASE_S)
    lease.plan(10.2 + LEASE_S)
    assert (lender.parts, own.parts) == (0, 1)


def test_a_part_below_one_request_is_passed_at_the_rate_of_the_part() -> None:
    # With 82 hosts a host's part of a small burst is less than one request.
    pool = make_pool(82, quota=Quota(rate_per_s=8.2, burst=16.4))
    pool.add_own(0.0)
    passed = sum(ask(pool, step + 1, 2.0 + step * 0.1, need=1) for step in range(2000))
    assert passed == pytest.approx(20, abs=1)


def test_hosts_that_lose_their_lender_together_do_not_pass_their_first_request_together() -> None:
    # All 82 parts are below one request; saved up and passed at once they would exceed the bound.
    team = Team(name="t", rate_per_s=1, burst=2)
    pools = [Pool(f"h{index}", 1, 0.0, Random(index)) for index in range(82)]
    for pool in pools:
        pool.set_nodes(82, 0.0)
        pool.set_quotas(make_quotas((team,), Bounds()), 0.0)
        pool.add_own(0.0)
    passed = []
    for step in range(400):
        now = SETTLE_S + step * 0.25
        passed.append(sum(ask(pool, step + 1, now, need=1) for pool in pools))
    windows = [sum(passed[start : start + 21]) for start in range(380)]
    assert max(windows) <= (1 * 5 + 2) * 1.1 + 20
    assert sum(passed) >= 60


def test_adding_a_removed_team_again_gives_no_new_burst() -> None:
    pool = make_pool(1)
    pool.add_own(0.0)
    assert ask(pool, 1, 20.0, need=200) == 100
    pool.set_quotas({}, 20.1)
    assert ask(pool, 2, 20.2, need=200) == 0
    pool.set_quotas({"t": QUOTA}, 20.3)
    assert ask(pool, 3, 21.0 + CREDIT_S, need=200) <= 11


def test_a_node_that_has_just_started_lends_nothing() -> None:
    # It may not know all nodes yet, and would use a larger part than its own.
    pool = make_pool(1)
    pool.add_own(0.0)
    assert ask(pool, 1, SETTLE_S - 0.1, need=1) == 0
    assert ask(pool, 2, SETTLE_S, need=1) == 1


def test_a_frozen_holder_uses_no_credit_after_its_deadline() -> None:
    pool = make_pool(1)
    pool.add_own(0.0)
    holder = CreditHolder("h", 1, ENTRY_LIMITS, lambda team: ["l"])
    holder.set_waiting("t", 2)
    ((_, request),) = holder.plan(20.0, periodic=False)
    holder.apply_reply("l", pool.answer(request, 20.0), 20.1)
    credit = holder.take("t", 20.1)
    assert credit is not None
    holder.end(credit, 20.0 + CREDIT_S, unused=True)
    assert holder.take("t", 20.0 + CREDIT_S) is None


def test_all_nodes_choose_the_same_lenders_and_each_zone_has_its_own() -> None:
    nodes = [(f"h{index}", f"z{index % 4}", 1) for index in range(82)]
    roles = [choose_roles(name, zone, nodes) for name, zone, _ in nodes]
    assert len({frozenset(each.lenders) for each in roles}) == 1
    assert len({tuple(each.list_distributors("t")[:2]) for each in roles}) == 1
    zones = {name: zone for name, zone, _ in nodes}
    assert all(zones[each.home] == zones[each.own] for each in roles)


def test_widened_quotas_stay_under_the_bound_with_what_may_be_given_back() -> None:
    bounds = Bounds()
    for rate, burst in ((1, 2), (20, 10), (300, 30), (300, 600)):
        team = Team(name="t", rate_per_s=rate, burst=burst)
        quota = make_quotas((team, Team(name="free")), bounds)["t"]
        passed = quota.rate_per_s * (bounds.quota_window_s + 0.35) + quota.burst
        allowed = (rate * 5 + burst) * 1.1 + 20
        assert passed <= allowed


def test_a_team_that_asks_steadily_for_more_than_its_rate_gets_what_its_window_grants() -> None:
    """Guards against a burst that counts once only, though the terms grant it in every window."""
    quota = make_quotas((Team(name="t", rate_per_s=10, burst=10),), Bounds())["t"]
    pool = make_pool(1, quota=quota)
    pool.add_own(0.0)
    granted = used = 0
    for number in range(1, 655):
        used = ask(pool, number, 2 + number / 10.9, need=1, used=used)
        granted += used
    assert granted > 654 * 0.98
