"""One run of the operators' client: options, calls and the way results are shown."""

import atexit
import sys
import time
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import dataclass
from random import SystemRandom
from threading import Thread
from typing import Any

import click

from corianderwall.ctl import rpc_pb2 as pb
from corianderwall.ctl.failures import ExitCode, choose_exit_code
from corianderwall.ctl.output import JSON, convert_to_json, print_error, print_rows
from corianderwall.model.errors import CorianderwallError
from corianderwall.store.operation import make_operation_id

Start = Callable[[Any], Coroutine[Any, Any, Any]]
"""Makes a coroutine for a reactor."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Options that hold for all commands."""

    nodes: tuple[str, ...]
    token: str
    timeout_s: float
    output: str
    operation_id: str

    def make_identity(self) -> pb.Identity:
        """Return the identity of a change: the given one again, or a new one."""
        wanted = self.operation_id
        if wanted:
            return pb.Identity(operation_id=wanted, repeated_call=True)
        return pb.Identity(operation_id=make_operation_id(int(time.time() * 1000), SystemRandom()))

    def call(self, method: str, request: Any, response_type: type[Any]) -> Any:
        """Return the answer, or print the error and exit with its code."""
        if not self.nodes:
            raise click.UsageError("name a node with --node or CORIANDERWALL_NODES")
        operation_id = request.identity.operation_id if hasattr(request, "identity") else ""

        async def run(reactor: Any) -> Any:
            # Twisted is loaded only for a call, so that help and completion stay quick.
            from corianderwall.ctl.client import OperatorClient

            client = OperatorClient(reactor, self.nodes, self.token)
            deadline = reactor.seconds() + self.timeout_s
            return await client.call(method, request, response_type, deadline=deadline)

        try:
            return run_in_reactor(run)
        except CorianderwallError as error:
            print_error(error, self.output, operation_id)
            sys.exit(choose_exit_code(error))

    def poll(
        self, method: str, request: Any, response_type: type[Any], *, span_s: float, pause_s: float
    ) -> Iterator[Any]:
        """Yield one answer after the other until the time is up."""
        until = time.monotonic() + span_s
        while True:
            yield self.call(method, request, response_type)
            if time.monotonic() + pause_s >= until:
                return
            time.sleep(pause_s)

    def change(self, method: str, request: Any) -> None:
        """Make a change and show its version."""
        request.identity.CopyFrom(self.make_identity())
        result = self.call(method, request, pb.ChangeResult)
        record = result.record
        self.show(
            result,
            ["version", "operation", "change"],
            [[result.version, result.operation_id, record.summary]],
        )

    def show(self, message: Any, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print the message as JSON or the rows as a table."""
        if self.output == JSON:
            click.echo(convert_to_json(message))
        else:
            print_rows(columns, rows)

    def read_config(self, version: int = 0) -> Any:
        """Return a configuration, the newest one if the version is 0."""
        return self.call("GetConfig", pb.GetConfigRequest(version=version), pb.Config)

    def find_named(self, items: Sequence[Any], name: str) -> Any:
        """Return the item of this name, or exit as refused."""
        for item in items:
            if item.name == name:
                return item
        click.echo(f"CW101: there is no {name!r} (effect: none)", err=True)
        sys.exit(ExitCode.REFUSED)


def run_in_reactor(start: Start) -> Any:
    """Run a coroutine on Twisted's reactor, in a thread so that it can be done repeatedly."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.internet.threads import blockingCallFromThread

    _start_reactor(reactor)
    return blockingCallFromThread(reactor, lambda: Deferred.fromCoroutine(start(reactor)))


def _start_reactor(reactor: Any) -> None:
    if reactor.running:
        return
    thread = Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True)
    thread.start()

    def stop() -> None:
        reactor.callFromThread(reactor.stop)
        thread.join()

    atexit.register(stop)
