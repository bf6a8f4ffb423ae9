from corianderwall.mesh.freshness import MIN_WATCH_S, ConfigurationFreshness


def test_a_confirmation_expires_and_ages_on_its_way_between_nodes() -> None:
    """Guards against a frozen host that takes an old message for a confirmation of this moment."""
    leader, node = ConfigurationFreshness(2.5), ConfigurationFreshness(2.5)
    assert not leader.is_fresh(100.0)
    assert leader.compute_age_ms(100.0) is None
    leader.confirm(100.0, 100.1)
    assert leader.is_fresh(102.5) and not leader.is_fresh(102.6)
    # The other host has another clock, and reads the response 2 s after its request.
    node.merge(leader.compute_age_ms(101.0), asked_at=500.0)
    assert node.compute_age_ms(502.0) == 3000.0
    node.merge(None, asked_at=502.0)
    assert not node.is_fresh(502.0)


def test_a_store_from_an_earlier_copy_confirms_nothing_until_peers_have_spoken() -> None:
    """Guards against a leader behind that denies a key which the store has lost."""
    freshness = ConfigurationFreshness(2.5)
    freshness.distrust_store(100.0)
    freshness.confirm(102.0, 102.1)
    assert not freshness.is_fresh(102.1)
    freshness.confirm(102.6, 102.7)
    assert freshness.is_fresh(102.7)


def test_a_watch_ends_before_the_last_confirmation_expires() -> None:
    """Guards against a leader that is not sure of its version after each change of it."""
    freshness = ConfigurationFreshness(2.5)
    freshness.confirm(100.0, 101.5)
    assert freshness.limit_watch(1.5, 100.25) == 1.5
    assert freshness.limit_watch(1.5, 101.5) == 0.5
    assert freshness.limit_watch(1.5, 110.0) == MIN_WATCH_S
