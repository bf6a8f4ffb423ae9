import pytest

from corianderwall.model.endpoint import Address, EndpointState, Host, Locality
from corianderwall.node.admin import Announcement
from corianderwall.node.upstream import ANNOUNCEMENT_TIMEOUT_S, LocalUpstream

ADDRESS = Address(host="127.0.0.1", port=1)
HOST = Host(
    name="host-a",
    locality=Locality(region="midlands", zone="midlands-a"),
    peer_address=ADDRESS,
    call_address=ADDRESS,
)


def make_announcement(**changes: object) -> Announcement:
    fields: dict[str, object] = {
        "service": "gazeti",
        "version": "v1",
        "host": "127.0.0.1",
        "port": 9000,
        "slots": 6,
        "connections": 110,
    }
    return Announcement(**(fields | changes))


@pytest.fixture
def upstream() -> LocalUpstream:
    return LocalUpstream(HOST)


def test_a_repeated_announcement_is_no_change(upstream):
    first = upstream.announce(make_announcement(), now=0.0, unix_ms=1000)
    assert first.started_unix_ms == 1000
    assert upstream.announce(make_announcement(), now=1.0, unix_ms=2000) is None


def test_a_change_raises_the_incarnation_and_keeps_the_start_time(upstream):
    first = upstream.announce(make_announcement(), now=0.0, unix_ms=1000)
    # The wall clock was set back.
    changed = upstream.announce(make_announcement(slots=9), now=1.0, unix_ms=500)
    assert changed.incarnation > first.incarnation
    assert changed.started_unix_ms == 1000


def test_an_upstream_on_another_port_has_its_own_start_time(upstream):
    upstream.announce(make_announcement(), now=0.0, unix_ms=1000)
    replaced = upstream.announce(make_announcement(port=9001), now=1.0, unix_ms=5000)
    assert replaced.started_unix_ms == 5000


def test_an_upstream_that_stops_announcing_is_lost_once(upstream):
    upstream.announce(make_announcement(), now=0.0, unix_ms=1000)
    assert upstream.find_lost(ANNOUNCEMENT_TIMEOUT_S - 0.1) is None
    assert upstream.find_lost(ANNOUNCEMENT_TIMEOUT_S).name == "host-a.9000"
    assert upstream.find_lost(ANNOUNCEMENT_TIMEOUT_S + 1) is None


def test_a_leaving_upstream_drains_once(upstream):
    upstream.announce(make_announcement(), now=0.0, unix_ms=1000)
    assert upstream.drain(unix_ms=2000).state is EndpointState.DRAINING
    assert upstream.drain(unix_ms=3000) is None
