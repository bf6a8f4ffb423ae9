"""The demo: calls, a configuration change, a move that completes and one that is rolled back."""

import time
from dataclasses import dataclass, field
from typing import Any

import click
import treq
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from corianderwall.app.local_mesh import HostSpec, LocalMesh
from corianderwall.model.endpoint import Address
from corianderwall.standins.upstream_settings import BadKind, BadRule, Switches

ZONES = ("midlands-a", "midlands-b", "midlands-c")
SERVICE = "placements"
READY_TIMEOUT_S = 10.0
MOVE_SECONDS = 25
MOVE_TIMEOUT_S = 30.0
CALLS_PER_S = 150
GOOD_SWITCHES = Switches(work_ms=2)
FAILING_SWITCHES = Switches(work_ms=2, rules=(BadRule(kind=BadKind.FAIL, share=0.3),))
POLICY = {"steps_permille": [100, 500, 1000], "min_calls_per_step": 60}


class DemoError(Exception):
    """A step of the demo failed."""


@dataclass(slots=True)
class StatusCounts:
    """Counts of the responses to the demo's callers, by HTTP status."""

    statuses: dict[int, int] = field(default_factory=dict)

    def add(self, status: int) -> None:
        """Count one response."""
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def describe(self) -> str:
        """Return the counts as text."""
        counts = (f"{count} x {status}" for status, count in sorted(self.statuses.items()))
        return ", ".join(counts) or "none"


class Demo:
    """Runs the steps in order and prints their results."""

    def __init__(self, reactor: Any) -> None:
        self._mesh = LocalMesh(reactor)
        self._status_counts = StatusCounts()
        self._call_count = 0

    async def run(self) -> None:
        """Run all steps, or raise `DemoError` at the first that fails."""
        await self._start()
        await self._configure()
        await self._call_once()
        caller = self._start_callers()
        try:
            await self._mesh.pause(2.0)
            await self._move("v2", "completed")
            await self._move("v3", "taken_back")
        finally:
            caller.stop()
        await self._finish()

    async def _start(self) -> None:
        specs = [
            HostSpec(
                name=f"host-{version}-{zone[-1]}",
                zone=zone,
                service=SERVICE,
                version=version,
                switches=FAILING_SWITCHES if version == "v3" else GOOD_SWITCHES,
            )
            for version in ("v1", "v2", "v3")
            for zone in ZONES
        ]
        await self._mesh.start(specs)
        hosts = self._mesh.hosts
        ready = await self._mesh.wait_for(
            lambda: all(host.node.read_health().ready for host in hosts), READY_TIMEOUT_S
        )
        _require(ready, "the nodes were not ready in time")
        report(f"{len(hosts)} nodes in {len(ZONES)} availability zones are ready")

    async def _configure(self) -> None:
        service = {
            "name": SERVICE,
            "versions": ["v1", "v2", "v3"],
            "split": [{"version": "v1", "permille": 1000}],
        }
        await self._change("PutService", {"service": service})
        route = {"name": "accept", "service": SERVICE, "path_prefix": "/placements"}
        response = await self._change("PutRoute", {"route": route})
        version = int(response["version"])
        started_at = time.monotonic()
        deadline = int((time.time() + READY_TIMEOUT_S) * 1000)
        status = await self._mesh.call_operator(
            "WaitConfig", {"version": version, "deadline_unix_ms": deadline}
        )
        _require(status["in_force"], f"version {version} is not active on all nodes: {status}")
        elapsed_s = time.monotonic() - started_at
        report(
            f"version {version} is active on all {status['known_nodes']} nodes ({elapsed_s:.2f} s)"
        )

    async def _change(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        response = await self._mesh.call_operator(method, body)
        _require("code" not in response, f"{method} failed: {response}")
        report(f"operator: {response['record']['summary']} -> version {response['version']}")
        return response

    async def _call_once(self) -> None:
        address = self._mesh.hosts[0].call_address
        response = await treq.get(f"http://{address}/placements/1")
        await response.content()
        _require(response.code == 200, f"the first call got status {response.code}")
        version = (response.headers.getRawHeaders("x-version") or ["?"])[0]
        report(f"caller: GET /placements/1 -> {response.code} from version {version}")

    def _start_callers(self) -> LoopingCall:
        caller = LoopingCall(self._send_call)
        caller.clock = self._mesh.reactor
        caller.start(1 / CALLS_PER_S)
        return caller

    def _send_call(self) -> None:
        hosts = self._mesh.hosts
        self._call_count += 1
        address = hosts[self._call_count % len(hosts)].call_address
        Deferred.fromCoroutine(self._call(address, self._call_count))

    async def _call(self, address: Address, number: int) -> None:
        response = await treq.get(f"http://{address}/placements/{number}")
        await response.content()
        self._status_counts.add(response.code)

    async def _move(self, version: str, expected: str) -> None:
        deadline = int((time.time() + MOVE_SECONDS) * 1000)
        move_id = f"to-{version}"
        await self._change(
            "StartMove",
            {
                "move_id": move_id,
                "service": SERVICE,
                "to_version": version,
                "deadline_unix_ms": deadline,
                "policy": POLICY,
            },
        )
        move = await self._wait_for_end(move_id)
        state = move["state"].removeprefix("MOVE_STATE_").lower()
        in_time = int(move["ended_unix_ms"]) <= deadline
        report(f"move {move_id}: {state.replace('_', ' ')}; {move['cause']}; {move['evidence']}")
        _require(state == expected, f"the move to {version} ended as {state}, not {expected}")
        _require(in_time, f"the move to {version} ended after its deadline")

    async def _wait_for_end(self, move_id: str) -> dict[str, Any]:
        deadline = time.monotonic() + MOVE_TIMEOUT_S
        share = 0
        while time.monotonic() < deadline:
            move = await self._mesh.call_operator("GetMove", {"move_id": move_id})
            if move.get("state") not in (None, "MOVE_STATE_RUNNING"):
                return move
            if move.get("share_permille", share) != share:
                share = move["share_permille"]
                report(f"move {move_id}: {share / 10:g}% of the calls")
            await self._mesh.pause(0.2)
        raise DemoError(f"the move {move_id} did not end in time")

    async def _finish(self) -> None:
        audit = await self._mesh.call_operator("ListAudit", {})
        report(f"callers: {self._status_counts.describe()}")
        report(
            f"audit trail: {len(audit['records'])} records, newest {audit['records'][0]['kind']}"
        )
        aborted_counts = await self._mesh.stop()
        _require(sum(aborted_counts) == 0, f"the shutdown cut {sum(aborted_counts)} calls")
        report("all nodes stopped gracefully; no call was cut")


def report(text: str) -> None:
    """Print a line, prefixed with the seconds since the start."""
    click.echo(f"[{time.monotonic() - _STARTED_AT:6.2f} s] {text}")


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise DemoError(message)


_STARTED_AT = time.monotonic()


def run_demo(reactor: Any) -> str:
    """Run the demo on the installed reactor; return the failure, or an empty text on success."""
    failures: list[str] = []

    def end(result: Any) -> None:
        failure = getattr(result, "value", None)
        if failure is not None:
            failures.append(f"{type(failure).__name__}: {failure}")
        reactor.stop()

    def begin() -> None:
        Deferred.fromCoroutine(Demo(reactor).run()).addBoth(end)

    reactor.callWhenRunning(begin)
    reactor.run()
    return failures[0] if failures else ""
