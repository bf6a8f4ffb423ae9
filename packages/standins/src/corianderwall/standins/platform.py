"""In-memory stand-in for the platform's object API over HTTP, with switches to inject faults."""

import json
from typing import Any, cast

import msgspec
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Site

from corianderwall.standins.objects import KeyWaiters, ObjectTable, RateLimiter, RevisionMismatch

MAX_VALUE_BYTES = 1 << 20
MAX_WAIT_S = 60.0
ALL_RESPONSES = -1
"""Value of `Switches.lost_answers` that loses the response to every write."""


class Switches(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults and limits; `lost_answers` is a number of writes or `ALL_RESPONSES`."""

    down: bool = False
    silent: bool = False
    """Never respond."""
    slow_s: float = 0.0
    lost_answers: int = 0
    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0


class Counters(msgspec.Struct, kw_only=True):
    """Calls by kind and by outcome since the start; a watch is counted once, on arrival."""

    reads: int = 0
    watches: int = 0
    lists: int = 0
    writes: int = 0
    deletes: int = 0
    conflicts: int = 0
    throttled: int = 0
    unavailable: int = 0
    lost_answers: int = 0


class PlatformStandin:
    """Serves the object API on a loopback port; `switches` can be changed at any time."""

    def __init__(self, switches: Switches | None = None) -> None:
        self.switches = switches or Switches()
        self.counters = Counters()
        self.objects = ObjectTable()
        self.port = 0
        self._waiters = KeyWaiters()
        self._read_limiter = RateLimiter()
        self._write_limiter = RateLimiter()
        self._listener: Any = None
        self._factory: Any = None

    async def start(self, port: int = 0) -> int:
        """Listen on 127.0.0.1 and return the port, a free one if `port` is 0."""
        site = cast("Any", Site)(self._build_app().resource())
        self._factory = cast("Any", WrappingFactory)(site)
        self._listener = cast("Any", reactor).listenTCP(port, self._factory, interface="127.0.0.1")
        self.port = self._listener.getHost().port
        return self.port

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            await self._listener.stopListening()
            self._listener = None
            for connection in list(self._factory.protocols):
                connection.transport.abortConnection()

    def restore_copy(self, copy: ObjectTable) -> None:
        """Come back from an earlier copy of `objects`; waiting watches end."""
        self.objects.restore_copy(copy)
        self._waiters.release_all()

    def _build_app(self) -> Any:
        app = Klein()
        app.route("/objects/<path:key>", methods=["GET"])(self._serve_read)
        app.route("/objects/<path:key>", methods=["PUT"])(self._serve_write)
        app.route("/objects/<path:key>", methods=["DELETE"])(self._serve_delete)
        app.route("/objects", methods=["GET"])(self._serve_list)
        app.route("/objects", methods=["DELETE"])(self._serve_prefix_delete)
        app.route("/switches", methods=["PUT"])(self._serve_switches)
        app.route("/counters", methods=["GET"])(self._serve_counters)
        return app

    def _serve_switches(self, request: Any) -> bytes:
        try:
            patch = msgspec.json.decode(_read_body(request), type=dict[str, Any])
            merged = msgspec.to_builtins(self.switches) | patch
            self.switches = msgspec.convert(merged, Switches)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            request.setResponseCode(400)
            return str(error).encode()
        return msgspec.json.encode(self.switches)

    def delete_objects(self, prefix: str) -> int:
        """Delete all objects under the prefix, for example leases, and return their number."""
        keys = self.objects.list_keys(prefix)
        for key in keys:
            self.objects.delete(key, self.objects.read_revision(key))
        return len(keys)

    def _serve_prefix_delete(self, request: Any) -> bytes:
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        if not prefix:
            request.setResponseCode(400)
            return b"a prefix is required"
        return json.dumps(self.delete_objects(prefix)).encode()

    def _serve_counters(self, request: Any) -> bytes:
        request.setHeader("content-type", "application/json")
        return msgspec.json.encode(self.counters)

    async def _serve_read(self, request: Any, key: str) -> bytes:
        after = _read_number(request, b"after")
        if after is None:
            self.counters.reads += 1
        else:
            self.counters.watches += 1
        if not await self._admit(request, self._read_limiter, self.switches.reads_per_s):
            return b""
        if after is not None:
            wait_s = min((_read_number(request, b"wait_ms") or 0) / 1000, MAX_WAIT_S)
            await self._wait_for_revision(request, key, after, wait_s)
        return self._respond_with_object(request, key, after)

    async def _wait_for_revision(self, request: Any, key: str, after: int, wait_s: float) -> None:
        if self.objects.read_revision(key) > after or wait_s <= 0:
            return
        waiter = self._waiters.add(key, after)
        timeout = cast("Any", reactor).callLater(wait_s, self._waiters.release, waiter)
        request.notifyFinish().addErrback(lambda _: self._waiters.release(waiter))
        await waiter.fired
        if timeout.active():
            timeout.cancel()

    def _respond_with_object(self, request: Any, key: str, after: int | None) -> bytes:
        request.setHeader("store-era", str(self.objects.era))
        if self.switches.down:
            return self._respond_unavailable(request)
        revision = self.objects.read_revision(key)
        if after is not None and revision <= after:
            request.setResponseCode(304)
            return b""
        if revision == 0:
            request.setResponseCode(404)
            return b""
        request.setHeader("etag", f'"{revision}"')
        return self.objects.read_value(key)

    async def _serve_write(self, request: Any, key: str) -> bytes:
        self.counters.writes += 1
        if not await self._admit(request, self._write_limiter, self.switches.writes_per_s):
            return b""
        value = _read_body(request)
        if len(value) > MAX_VALUE_BYTES:
            request.setResponseCode(413)
            return b""
        try:
            revision = self.objects.write(key, value, _read_expected(request))
        except RevisionMismatch:
            return self._respond_conflict(request)
        self._waiters.notify(key, revision)
        request.setHeader("etag", f'"{revision}"')
        await self._lose_response(request)
        return b""

    async def _serve_delete(self, request: Any, key: str) -> bytes:
        self.counters.deletes += 1
        if not await self._admit(request, self._write_limiter, self.switches.writes_per_s):
            return b""
        try:
            self.objects.delete(key, _read_expected(request))
        except RevisionMismatch:
            return self._respond_conflict(request)
        request.setResponseCode(204)
        await self._lose_response(request)
        return b""

    async def _serve_list(self, request: Any) -> bytes:
        self.counters.lists += 1
        if not await self._admit(request, self._read_limiter, self.switches.reads_per_s):
            return b""
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        request.setHeader("content-type", "application/json")
        return json.dumps(self.objects.list_keys(prefix)).encode()

    async def _admit(self, request: Any, limiter: RateLimiter, rate: float) -> bool:
        """Apply the switches and the rate limit; return False if the response is already set."""
        request.setHeader("store-era", str(self.objects.era))
        if self.switches.silent:
            await Deferred()
        if self.switches.slow_s > 0:
            await deferLater(cast("Any", reactor), self.switches.slow_s)
        if self.switches.down:
            self._respond_unavailable(request)
            return False
        if limiter.admit(cast("Any", reactor).seconds(), rate):
            return True
        self.counters.throttled += 1
        request.setResponseCode(429)
        request.setHeader("retry-after", "1")
        return False

    def _respond_unavailable(self, request: Any) -> bytes:
        self.counters.unavailable += 1
        request.setResponseCode(503)
        return b""

    def _respond_conflict(self, request: Any) -> bytes:
        self.counters.conflicts += 1
        request.setResponseCode(412)
        return b""

    async def _lose_response(self, request: Any) -> None:
        """Close the connection instead of responding while `lost_answers` is set."""
        if self.switches.lost_answers == 0:
            return
        if self.switches.lost_answers > 0:
            self.switches.lost_answers -= 1
        self.counters.lost_answers += 1
        _abort_connection(request)
        await Deferred()


def _abort_connection(request: Any) -> None:
    transport = request.channel.transport if request.channel else None
    if transport is not None:
        transport.abortConnection()


def _read_body(request: Any) -> bytes:
    request.content.seek(0)
    return cast("bytes", request.content.read())


def _read_number(request: Any, name: bytes) -> int | None:
    values = request.args.get(name)
    if not values or not values[0].isdigit():
        return None
    return int(values[0])


def _read_expected(request: Any) -> int:
    etag = (request.getHeader("if-match") or "").strip('"')
    return int(etag) if etag.isdigit() else -1
