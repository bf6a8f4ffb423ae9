from corianderwall.mesh.uplink import USED_PART, Uplink


def make_uplink() -> Uplink:
    """Return a link that sends 1,000 bytes of big responses per second."""
    return Uplink(1000 / USED_PART)


def test_what_is_booked_is_sent_one_after_another() -> None:
    uplink = make_uplink()
    uplink.book(500, 10.0)
    uplink.book(500, 10.2)
    assert round(uplink.estimate_wait(10.2), 6) == 0.8
    assert uplink.estimate_wait(20.0) == 0.0
    uplink.book(100, 30.0)
    assert round(uplink.estimate_wait(30.0), 6) == 0.1


def test_what_will_not_be_sent_frees_the_link() -> None:
    uplink = make_uplink()
    uplink.book(500, 10.0)
    uplink.cancel(400)
    assert round(uplink.estimate_wait(10.0), 6) == 0.1


def test_only_routes_with_big_answers_occupy_the_link() -> None:
    uplink = make_uplink()
    assert uplink.estimate_sending("unseen") == 0.0
    uplink.sizes.note("short", 10)
    uplink.sizes.note("big", 2000)
    assert uplink.estimate_sending("short") == 0.0
    assert round(uplink.estimate_sending("big"), 6) == 2.0
    for _ in range(60):
        uplink.sizes.note("big", 1000)
    assert round(uplink.estimate_sending("big"), 3) == 1.0


def test_on_a_link_without_bound_every_answer_is_short() -> None:
    uplink = Uplink()
    uplink.sizes.note("big", 10**9)
    uplink.book(10**9, 1.0)
    assert uplink.is_short(10**9)
    assert uplink.estimate_sending("big") == 0.0
    assert uplink.estimate_wait(1.0) == 0.0
