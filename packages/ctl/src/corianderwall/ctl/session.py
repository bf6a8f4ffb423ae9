"""One run of the operators' client: its options, calls and output."""

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

CoroutineFactory = Callable[[Any], Coroutine[Any, Any, Any]]
"""Creates the coroutine to run, given the reactor."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """The options that all commands share, and the calls made with them."""

    nodes: tuple[str, ...]
    token: str
    timeout_s: float
    output: str
    operation_id: str

    def make_identity(self) -> pb.Identity:
        """Return the identity of a change, with the given operation id or a new one."""
        given_id = self.operation_id
        if given_id:
            return pb.Identity(operation_id=given_id, repeated_call=True)
        return pb.Identity(operation_id=make_operation_id(int(time.time() * 1000), SystemRandom()))

    def call(self, method: str, request: Any, response_type: type[Any]) -> Any:
        """Return the response, or print the error and exit with its exit code."""
        if not self.nodes:
            raise click.UsageError("name a node with --node or CORIANDERWALL_NODES")
        operation_id = request.identity.operation_id if hasattr(request, "identity") else ""

        async def run(reactor: Any) -> Any:
            # Twisted is imported only for a call, which keeps help and completion fast.
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
        """Repeat the call and yield its responses until the time span is over."""
        deadline = time.monotonic() + span_s
        while True:
            yield self.call(method, request, response_type)
            if time.monotonic() + pause_s >= deadline:
                return
            time.sleep(pause_s)

    def change(self, method: str, request: Any) -> None:
        """Make a change and show the version that it created."""
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

    def find_by_name(self, items: Sequence[Any], name: str) -> Any:
        """Return the item of this name, or print an error and exit with `REFUSED`."""
        for item in items:
            if item.name == name:
                return item
        click.echo(f"CW101: there is no {name!r} (effect: none)", err=True)
        sys.exit(ExitCode.REFUSED)


def run_in_reactor(make_coroutine: CoroutineFactory) -> Any:
    """Run a coroutine on Twisted's reactor, which runs in a thread as it can't be restarted."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred
    from twisted.internet.threads import blockingCallFromThread

    _start_reactor(reactor)
    return blockingCallFromThread(reactor, lambda: Deferred.fromCoroutine(make_coroutine(reactor)))


def _start_reactor(reactor: Any) -> None:
    if reactor.running:
        return
    thread = Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True)
    thread.start()

    def stop() -> None:
        reactor.callFromThread(reactor.stop)
        thread.join()

    atexit.register(stop)
