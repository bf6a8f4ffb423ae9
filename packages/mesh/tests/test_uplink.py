from corianderwall.mesh.uplink import BIG_RATE_FRACTION, Uplink


def make_uplink() -> Uplink:
    """Return a link that sends 1,000 bytes of big responses per second."""
    return Uplink(1000 / BIG_RATE_FRACTION)


def test_reserved_bytes_are_sent_one_after_another() -> None:
    uplink = make_uplink()
    uplink.reserve(500, 10.0)
    uplink.reserve(500, 10.2)
    assert round(uplink.estimate_wait(10.2), 6) == 0.8
    assert uplink.estimate_wait(20.0) == 0.0
    uplink.reserve(100, 30.0)
    assert round(uplink.estimate_wait(30.0), 6) == 0.1


def test_a_released_reservation_frees_the_link() -> None:
    uplink = make_uplink()
    uplink.reserve(500, 10.0)
    uplink.release(400)
    assert round(uplink.estimate_wait(10.0), 6) == 0.1


def test_only_routes_with_big_responses_occupy_the_link() -> None:
    uplink = make_uplink()
    assert uplink.estimate_sending_s("unseen") == 0.0
    uplink.sizes.record("short", 10)
    uplink.sizes.record("big", 2000)
    assert uplink.estimate_sending_s("short") == 0.0
    assert round(uplink.estimate_sending_s("big"), 6) == 2.0
    for _ in range(60):
        uplink.sizes.record("big", 1000)
    assert round(uplink.estimate_sending_s("big"), 3) == 1.0


def test_on_a_link_without_bound_every_response_is_small() -> None:
    uplink = Uplink()
    uplink.sizes.record("big", 10**9)
    uplink.reserve(10**9, 1.0)
    assert uplink.is_small(10**9)
    assert uplink.estimate_sending_s("big") == 0.0
    assert uplink.estimate_wait(1.0) == 0.0
