"""One call at an upstream stand-in, from reading its body to sending its response."""

import os
import time
from typing import TYPE_CHECKING

from corianderwall.httpflow.call import IncomingCall
from corianderwall.httpflow.flow import Headers
from corianderwall.standins.upstream_response import (
    MAX_UNSTREAMED_BYTES,
    ResponseWriter,
    make_body,
    write_faulty_response,
)
from corianderwall.standins.upstream_settings import Fault
from corianderwall.standins.upstream_work import Job, Plan

if TYPE_CHECKING:
    import asyncio

    from corianderwall.standins.upstream import UpstreamStandin

DEFAULT_RESPONSE_BYTES = 256
CRASH_EXIT_STATUS = 70
NOT_RUN_HEADERS = [(b"x-not-run", b"1"), (b"retry-after", b"1")]
NO_DEADLINE = float("inf")


def refuse(call: IncomingCall) -> None:
    """Respond that the call did not run."""
    call.respond(503, NOT_RUN_HEADERS)


class CallJob:
    """Reads the body, waits for a slot, works and responds; a disconnect of the caller cancels it.

    The response to `/bytes/N` has N bytes, and the one to `/chunked/N` has N bytes in chunks.
    """

    def __init__(self, upstream: "UpstreamStandin", call: IncomingCall) -> None:
        self._upstream = upstream
        self._call = call
        self._call_id = call.find_header(b"x-call-id")
        self._deadline = _read_deadline(call)
        self._job = Job(self._run, self._deadline)
        self._plan = Plan(0, 200, None)
        self._timer: asyncio.TimerHandle | None = None

    def receive(self) -> None:
        """Read the body, then submit the job."""
        self._call.on_disconnect = self._cancel
        if self._call.take_body() is None:
            self._call.read_body(self)
        else:
            self._submit()

    def write_body(self, data: bytes) -> None:
        """Discard a part of the request's body."""

    def end_body(self) -> None:
        """Submit the job, since the request is complete."""
        self._submit()

    def abort_body(self) -> None:
        """Do nothing, since the disconnect is reported separately."""

    def _submit(self) -> None:
        upstream = self._upstream
        path = self._call.target.decode("latin-1")
        self._plan = upstream.behaviour.make_plan(
            path, upstream.queue.running, upstream.loop.time(), _read_fault(self._call)
        )
        fault = self._plan.fault
        upstream.counts.faults += fault is not None
        if fault is Fault.HANG:
            return
        if fault is Fault.CLOSE_UNRUN:
            if self._call.connection is not None:
                self._call.connection.abort()
            return
        if fault is Fault.REFUSE or not upstream.queue.submit(self._job):
            upstream.counts.refused += 1
            self._call.on_disconnect = None
            refuse(self._call)
        upstream.record_load()

    def _run(self) -> None:
        upstream = self._upstream
        if time.time() >= self._deadline:
            upstream.counts.expired += 1
            # Defer the removal, since the queue is still starting this job.
            upstream.loop.call_soon(self._expire)
            return
        upstream.count_execution(self._call_id)
        if self._plan.fault is Fault.CRASH:
            os._exit(CRASH_EXIT_STATUS)
        work_s = self._plan.work_s
        if self._plan.fault is Fault.LATE:
            work_s += upstream.behaviour.switches.late_ms / 1000
        if work_s > 0:
            self._timer = upstream.loop.call_later(work_s, self._finish)
        else:
            self._finish()

    def _expire(self) -> None:
        self._upstream.queue.remove(self._job)
        if self._call.is_open:
            refuse(self._call)

    def _finish(self) -> None:
        self._timer = None
        upstream = self._upstream
        fault = self._plan.fault
        if fault is Fault.HANG_RUN:
            return
        upstream.record_health(self._plan.status)
        self._call.on_disconnect = None
        headers = self._make_headers()
        seed = self._call_id or b"-"
        path, _, size = self._call.target.rpartition(b"/")
        length = int(size) if size.isdigit() else DEFAULT_RESPONSE_BYTES
        if fault is not None:
            write_faulty_response(self._call, fault, headers, make_body(seed, length))
        elif self._plan.status != 200:
            self._call.respond(self._plan.status, headers, b"bad version")
        elif length > MAX_UNSTREAMED_BYTES or path == b"/chunked":
            writer = ResponseWriter(self._call, seed, length)
            writer.start(headers, chunked=path == b"/chunked")
        else:
            self._call.respond(200, headers, make_body(seed, length))
        upstream.queue.remove(self._job)
        upstream.record_load()

    def _make_headers(self) -> Headers:
        upstream = self._upstream
        load = upstream.queue.running * upstream.behaviour.switches.load_factor
        headers = [
            (b"content-type", b"application/octet-stream"),
            (b"x-load", b"%d/%d" % (load, upstream.settings.slots)),
            (b"x-version", upstream.settings.version.encode()),
        ]
        if self._call_id is not None:
            headers.append((b"x-call-id", self._call_id))
        return headers

    def _cancel(self) -> None:
        upstream = self._upstream
        upstream.counts.cancelled += 1
        if self._timer is not None:
            self._timer.cancel()
        upstream.queue.remove(self._job)
        upstream.record_load()


def _read_deadline(call: IncomingCall) -> float:
    value = call.find_header(b"x-deadline-unix-ms")
    return int(value) / 1000 if value is not None and value.isdigit() else NO_DEADLINE


def _read_fault(call: IncomingCall) -> Fault | None:
    value = call.find_header(b"x-fault")
    return Fault(value.decode("latin-1")) if value is not None else None
