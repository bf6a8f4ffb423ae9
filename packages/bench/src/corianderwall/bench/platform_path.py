"""The latency and the processor time that entry and owner add to a call on the platform's path."""

import asyncio
import cProfile
import resource
import time
from collections.abc import Mapping
from random import Random

import click

from corianderwall.bench.running import install_reactor
from corianderwall.mesh.endpoint import Announcement
from corianderwall.mesh.memorysource import MemorySource
from corianderwall.mesh.node import HostNode
from corianderwall.mesh.settings import HeaderNames, HostSettings
from corianderwall.model.endpoint import Address
from corianderwall.model.resource import Route, Service, Snapshot
from corianderwall.standins.scripted import ReceivedRequest, ScriptedUpstream, make_response

NAMES = HeaderNames(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    expected_instance=b"expected-instance",
    instance_id=b"instance-id",
    not_run=b"not-executed",
    caller=b"caller-service",
    limit=b"server-limit",
    leaving=b"server-leaving",
)
REQUEST = b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %d\r\nDeadline-Ms: 5000\r\n\r\n"
WARM_UP_CALLS = 100
FIRST_PORT = 29_500
"""Loopback ports from here on, five for each node, as the platform gives fixed ones."""


@click.command()
@click.option("--calls", default=3000, help="Calls of each side, one after another.")
@click.option("--profile", default="", help="File for a profile of the calls through the mesh.")
def command(**options: object) -> dict[str, object]:
    """Measure the two hops of a call in one process, entry and owner on different nodes."""
    return options


def measure(arguments: list[str]) -> Mapping[str, object]:
    """Return percentiles of the added latency in ms and microseconds of processor per call."""
    options = command(arguments, standalone_mode=False)
    install_reactor()
    return asyncio.get_event_loop().run_until_complete(_run(options))


async def _run(options: Mapping[str, object]) -> Mapping[str, object]:
    upstream = ScriptedUpstream(_respond)
    await upstream.start()
    source = MemorySource()
    route = Route(name="r", service="s", host="h.example", path_prefix="/a/", idempotent=True)
    source.put_config(Snapshot(version=1, services=(Service(name="s"),), routes=(route,)))
    owner, entry = (
        HostNode(_make_settings(number, upstream.port), NAMES, source, Random(number))
        for number in range(2)
    )
    for node in (owner, entry):
        await node.start([])
    owner.gate.endpoint.handle_announcement(
        Announcement(
            id="i-1",
            service="s",
            version="v1",
            zone="z",
            slots=8,
            draining=False,
            address=owner.settings.endpoint,
            warm_after_s=0.0,
            born_unix_ms=1,
            sequence=1,
        )
    )
    await asyncio.sleep(0.5)
    calls = int(str(options["calls"]))
    profiler = cProfile.Profile() if options["profile"] else None
    await _time_calls(upstream.port, WARM_UP_CALLS)
    direct, direct_cpu_s = await _time_calls(upstream.port, calls)
    port = entry.settings.outbound.port
    await _time_calls(port, WARM_UP_CALLS)
    if profiler is not None:
        profiler.enable()
    through, through_cpu_s = await _time_calls(port, calls)
    if profiler is not None:
        profiler.disable()
        profiler.dump_stats(str(options["profile"]))
    return {
        "calls": calls,
        "added_p50_ms": round((_pick(through, 0.5) - _pick(direct, 0.5)) * 1000, 3),
        "added_p99_ms": round((_pick(through, 0.99) - _pick(direct, 0.99)) * 1000, 3),
        "processor_us_per_call": round((through_cpu_s - direct_cpu_s) / calls * 1e6, 1),
    }


async def _respond(request: ReceivedRequest) -> bytes:
    return make_response(request)


def _make_settings(number: int, endpoint_port: int) -> HostSettings:
    ports = [Address(host="127.0.0.1", port=FIRST_PORT + 5 * number + n) for n in range(5)]
    return HostSettings(
        name=f"node-{number}",
        zone="z",
        service="s",
        outbound=ports[0],
        inbound=ports[1],
        readiness=ports[2],
        announcements=ports[3],
        metrics=ports[4],
        endpoint=Address(host="127.0.0.1", port=endpoint_port),
    )


async def _time_calls(port: int, calls: int) -> tuple[list[float], float]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    times = []
    began_cpu = _read_cpu_s()
    for number in range(calls):
        began = time.perf_counter()
        writer.write(REQUEST % number)
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"a call failed: {head!r}")
        await reader.readexactly(2)
        times.append(time.perf_counter() - began)
    writer.close()
    return sorted(times), _read_cpu_s() - began_cpu


def _pick(times: list[float], part: float) -> float:
    return times[int(len(times) * part)]


def _read_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
