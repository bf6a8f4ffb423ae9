from collections.abc import AsyncIterator

import pytest
import pytest_twisted
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from corianderwall.model.errors import CorianderwallError, Effect, ErrorCode
from corianderwall.standins.platform import ALL_RESPONSES, PlatformStandin
from corianderwall.store.http_api import HttpObjectApi

TIMEOUT_S = 0.3


@pytest_twisted.async_yield_fixture
async def platform() -> AsyncIterator[PlatformStandin]:
    standin = PlatformStandin()
    await standin.start(0)
    yield standin
    await standin.stop()


@pytest_twisted.async_yield_fixture
async def api(platform) -> AsyncIterator[HttpObjectApi]:
    client = HttpObjectApi(reactor, f"http://127.0.0.1:{platform.port}", timeout_s=TIMEOUT_S)
    yield client
    await client.close()


async def expect(call, code: ErrorCode, effect: Effect) -> CorianderwallError:
    with pytest.raises(CorianderwallError) as caught:
        await call
    assert (caught.value.code, caught.value.effect) == (code, effect)
    return caught.value


@pytest_twisted.ensureDeferred
async def test_each_call_follows_the_object_api(api, platform) -> None:
    assert await api.read("config/head") is None
    revision = await api.write_if("config/head", b"one", expected_revision=0)
    stored = await api.read("config/head")
    assert (stored.value, stored.revision) == (b"one", revision)
    assert await api.watch("config/head", after_revision=0, wait_s=0) == stored
    assert await api.watch("config/head", after_revision=revision, wait_s=0.02) is None
    assert await api.list_keys("config/") == ("config/head",)
    await expect(
        api.write_if("config/head", b"two", expected_revision=0), ErrorCode.CONFLICT, Effect.NONE
    )
    await api.delete_if("config/head", expected_revision=revision)
    assert await api.read("config/head") is None


@pytest_twisted.ensureDeferred
async def test_a_lost_response_to_a_write_is_an_unknown_outcome(api, platform) -> None:
    platform.switches.lost_answers = ALL_RESPONSES
    await expect(
        api.write_if("a", b"x", expected_revision=0), ErrorCode.OUTCOME_UNKNOWN, Effect.UNKNOWN
    )
    await expect(api.delete_if("a", expected_revision=1), ErrorCode.OUTCOME_UNKNOWN, Effect.UNKNOWN)
    assert platform.counters.deletes == 1


@pytest_twisted.ensureDeferred
async def test_a_silent_platform_times_out(api, platform) -> None:
    platform.switches.silent = True
    await expect(api.read("a"), ErrorCode.PLATFORM_UNAVAILABLE, Effect.NONE)
    await expect(
        api.write_if("a", b"x", expected_revision=0), ErrorCode.OUTCOME_UNKNOWN, Effect.UNKNOWN
    )


@pytest_twisted.ensureDeferred
async def test_a_watch_works_again_after_a_silent_connection(api, platform) -> None:
    revision = await api.write_if("a", b"one", expected_revision=0)
    platform.switches.silent = True
    await expect(
        api.watch("a", after_revision=revision, wait_s=0.05),
        ErrorCode.PLATFORM_UNAVAILABLE,
        Effect.NONE,
    )
    platform.switches.silent = False
    await api.write_if("a", b"two", expected_revision=revision)
    stored = await api.watch("a", after_revision=revision, wait_s=0.05)
    assert stored.value == b"two"


@pytest_twisted.ensureDeferred
async def test_a_platform_that_is_down_has_no_effect(api, platform) -> None:
    platform.switches.down = True
    for call in (api.read("a"), api.write_if("a", b"x", expected_revision=0)):
        await expect(call, ErrorCode.PLATFORM_UNAVAILABLE, Effect.NONE)


@pytest_twisted.ensureDeferred
async def test_a_platform_that_refuses_connections_has_no_effect(api, platform) -> None:
    await platform.stop()
    for call in (api.read("a"), api.write_if("a", b"x", expected_revision=0)):
        await expect(call, ErrorCode.PLATFORM_UNAVAILABLE, Effect.NONE)


@pytest_twisted.ensureDeferred
async def test_throttling_gives_the_retry_delay(api, platform) -> None:
    platform.switches.reads_per_s = 0
    error = await expect(api.read("a"), ErrorCode.PLATFORM_THROTTLED, Effect.NONE)
    assert error.retry_after_s == 1


@pytest_twisted.ensureDeferred
async def test_a_value_above_the_limit_is_refused(api) -> None:
    too_large = b"x" * ((1 << 20) + 1)
    await expect(
        api.write_if("a", too_large, expected_revision=0), ErrorCode.TOO_LARGE, Effect.NONE
    )


# Guards against changes that a watch skips and against writes over another state, because the
# platform has given out a revision again.
@pytest_twisted.ensureDeferred
async def test_revisions_of_different_eras_are_told_apart(api, platform) -> None:
    copy = platform.objects.take_copy()
    first = await api.write_if("a", b"one", expected_revision=0)
    second = await api.write_if("a", b"two", expected_revision=first)
    watch = ensureDeferred(api.watch("a", after_revision=second, wait_s=TIMEOUT_S))
    platform.restore_copy(copy)
    assert await watch is None
    platform.objects.write("a", b"three", 0)
    found = await api.watch("a", after_revision=second, wait_s=TIMEOUT_S)
    assert found.value == b"three"
    assert found.revision > second
    platform.objects.write("a", b"four", 1)
    await expect(
        api.write_if("a", b"five", expected_revision=second), ErrorCode.CONFLICT, Effect.NONE
    )
    assert (await api.read("a")).value == b"four"


@pytest_twisted.ensureDeferred
async def test_a_write_over_a_revision_that_was_given_out_again_has_an_unknown_outcome(
    api, platform
) -> None:
    copy = platform.objects.take_copy()
    revision = await api.write_if("a", b"one", expected_revision=0)
    platform.restore_copy(copy)
    platform.objects.write("a", b"two", 0)
    await expect(
        api.write_if("a", b"three", expected_revision=revision),
        ErrorCode.OUTCOME_UNKNOWN,
        Effect.UNKNOWN,
    )
