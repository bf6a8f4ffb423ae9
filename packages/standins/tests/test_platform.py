from collections.abc import AsyncIterator

import msgspec
import pytest
import pytest_twisted
import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.client import ResponseNeverReceived

from corianderwall.standins.objects import RateLimiter
from corianderwall.standins.platform import Counters, PlatformStandin, Switches


@pytest_twisted.async_yield_fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    standin = PlatformStandin()
    await standin.start(0)
    yield standin
    await standin.stop()


async def call(platform: PlatformStandin, method: str, path: str, **options: object):
    url = f"http://127.0.0.1:{platform.port}{path}"
    response = await treq.request(method, url, persistent=False, timeout=5, **options)
    return response, await response.content()


async def put(platform: PlatformStandin, key: str, value: bytes, revision: int):
    headers = {"If-Match": f'"{revision}"'}
    return await call(platform, "PUT", f"/objects/{key}", headers=headers, data=value)


@pytest_twisted.ensureDeferred
async def test_an_object_is_written_conditionally_and_read_back(platform) -> None:
    response, _ = await put(platform, "config/head", b"one", 0)
    assert (response.code, response.headers.getRawHeaders("etag")) == (200, ['"1"'])
    assert (await put(platform, "config/head", b"two", 0))[0].code == 412
    assert (await put(platform, "config/head", b"two", 1))[0].code == 200
    response, body = await call(platform, "GET", "/objects/config/head")
    assert (response.code, body) == (200, b"two")
    assert (await call(platform, "GET", "/objects?prefix=config/"))[1] == b'["config/head"]'


@pytest_twisted.ensureDeferred
async def test_a_write_without_a_condition_is_refused(platform) -> None:
    response, _ = await call(platform, "PUT", "/objects/a", data=b"x")
    assert response.code == 412


@pytest_twisted.ensureDeferred
async def test_a_deleted_object_never_gets_an_old_revision_again(platform) -> None:
    await put(platform, "a", b"x", 0)
    headers = {"If-Match": '"1"'}
    assert (await call(platform, "DELETE", "/objects/a", headers=headers))[0].code == 204
    assert (await call(platform, "DELETE", "/objects/a", headers=headers))[0].code == 412
    assert (await call(platform, "GET", "/objects/a"))[0].code == 404
    response, _ = await put(platform, "a", b"x", 0)
    assert response.headers.getRawHeaders("etag") == ['"2"']


@pytest_twisted.ensureDeferred
async def test_a_watch_waits_for_the_next_write(platform) -> None:
    await put(platform, "a", b"one", 0)
    watch = Deferred.fromCoroutine(
        call(platform, "GET", "/objects/a?after=1&wait_ms=4000"),
    )
    await deferLater(reactor, 0.05)
    assert not watch.called
    await put(platform, "a", b"two", 1)
    response, body = await watch
    assert (response.code, body) == (200, b"two")
    assert (await call(platform, "GET", "/objects/a?after=2&wait_ms=10"))[0].code == 304
    assert platform.counters.watches == 2


@pytest_twisted.ensureDeferred
async def test_a_lost_response_leaves_the_write_in_effect(platform) -> None:
    platform.switches.lost_answers = 1
    with pytest.raises(ResponseNeverReceived):
        await put(platform, "a", b"x", 0)
    assert platform.objects.read_value("a") == b"x"
    assert (await put(platform, "a", b"y", 1))[0].code == 200


@pytest_twisted.ensureDeferred
async def test_a_patch_over_http_keeps_the_other_switches(platform) -> None:
    patch = msgspec.json.encode({"down": True, "writes_per_s": 5})
    response, body = await call(platform, "PUT", "/switches", data=patch)
    assert msgspec.json.decode(body, type=Switches) == Switches(down=True, writes_per_s=5)
    assert (await call(platform, "GET", "/objects/a"))[0].code == 503
    response, _ = await call(platform, "PUT", "/switches", data=b'{"upside": true}')
    assert response.code == 400
    _, body = await call(platform, "GET", "/counters")
    assert msgspec.json.decode(body, type=Counters).unavailable == 1


@pytest_twisted.ensureDeferred
async def test_calls_above_the_rate_are_throttled(platform) -> None:
    platform.switches.reads_per_s = 2
    codes = [(await call(platform, "GET", "/objects/a"))[0].code for _ in range(4)]
    assert codes == [404, 404, 429, 429]


@pytest_twisted.ensureDeferred
async def test_a_value_above_a_megabyte_is_refused(platform) -> None:
    assert (await put(platform, "a", b"x" * ((1 << 20) + 1), 0))[0].code == 413
    assert (await put(platform, "a", b"x" * (1 << 20), 0))[0].code == 200


@pytest_twisted.ensureDeferred
async def test_objects_are_deleted_by_prefix_so_that_leases_expire(platform) -> None:
    for key in ("leases/a", "leases/b", "config/head"):
        await put(platform, key, b"x", 0)
    assert (await call(platform, "DELETE", "/objects"))[0].code == 400
    assert (await call(platform, "DELETE", "/objects?prefix=leases/"))[1] == b"2"
    assert platform.objects.list_keys("") == ["config/head"]


def test_the_limiter_refills_with_time() -> None:
    limiter = RateLimiter()
    assert [limiter.admit(0, 2) for _ in range(3)] == [True, True, False]
    assert [limiter.admit(0.5, 2) for _ in range(2)] == [True, False]
    assert [limiter.admit(100, 2) for _ in range(3)] == [True, True, False]
