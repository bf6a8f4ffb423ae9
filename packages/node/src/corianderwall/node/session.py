"""Runs one node in this process until a signal stops it."""

import asyncio
import gc
import signal
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from corianderwall.node.lifecycle import LifecycleActions, create_lifecycle
from corianderwall.node.logs import log_error, log_info, start_logs
from corianderwall.node.process import Node

if TYPE_CHECKING:
    from corianderwall.httpflow.server import DrainReport
    from corianderwall.node.settings import NodeSettings

EXIT_CANNOT_START = 1

GC_THRESHOLDS = (20_000, 20, 20)
"""Thresholds of `gc.set_threshold`: allocations, then collections of the younger generation."""


class NodeSession:
    """Runs one node in this process until a signal stops it."""

    def __init__(self, settings: "NodeSettings", reactor: Any) -> None:
        self._reactor = reactor
        self._exit_code = 0
        self.node = Node(settings, reactor)
        self._lifecycle = create_lifecycle(
            LifecycleActions(self._drain, self._abort_calls, self._stop)
        )

    def run(self) -> int:
        """Run the reactor until the node has stopped; return the exit code."""
        self._reactor.callWhenRunning(self._start_node)
        self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _start_node(self) -> None:
        loop = asyncio.get_event_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._lifecycle.handle_signal)
        started = Deferred.fromCoroutine(self.node.start())
        started.addCallbacks(lambda _: self._lifecycle.begin_serving(), self._handle_start_failure)

    def _handle_start_failure(self, failure: Any) -> None:
        log_error("the node can't start", why=failure.getErrorMessage())
        self._exit_code = EXIT_CANNOT_START
        self._lifecycle.handle_signal()

    def _drain(self) -> None:
        drained = Deferred.fromCoroutine(self.node.drain())
        drained.addCallbacks(self._log_drain, self._log_drain_failure)
        drained.addBoth(lambda _: self._lifecycle.finish_drain())

    def _log_drain(self, report: "DrainReport") -> None:
        log_info("drained", ended=report.completed, cut=report.aborted)

    def _log_drain_failure(self, failure: Any) -> None:
        log_error("draining failed", why=failure.getErrorMessage())

    def _abort_calls(self) -> None:
        self.node.abort_calls()
        self._lifecycle.finish_drain()

    def _stop(self) -> None:
        stopped = Deferred.fromCoroutine(self.node.stop())
        stopped.addBoth(lambda _: self._reactor.stop())


def tune_garbage_collector() -> None:
    """Make garbage collections rare, since they pause calls and calls leave no cycles behind."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run_node(settings: "NodeSettings") -> int:
    """Run a node on the installed reactor; return the exit code of the process."""
    from twisted.internet import reactor

    session = NodeSession(settings, reactor)
    node = session.node
    start_logs(
        settings.log,
        node=node.host.name,
        zone=node.host.locality.zone,
        read_version=lambda: node.read_health().version,
    )
    tune_garbage_collector()
    return session.run()
