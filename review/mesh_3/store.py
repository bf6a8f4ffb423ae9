"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from mesh_3.http import Message, encode_response, read_message

ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
JSON = {"Content-Type": "application/json"}
PREFIX = "/api/objects/"


class Store:
    """Objects by kind and name; loses nothing, and answers at once."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address for the settings of nodes."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator does; return the revision."""
        found = self.objects.get((kind, name))
        if found is None:
            return self._create(kind, name, spec)
        return self._change(kind, found, spec=spec)

    def read_status(self, kind: str, name: str) -> Any:
        """Return the status of an object, None if there is none."""
        found = self.objects.get((kind, name))
        return found["status"] if found is not None else None

    def _create(self, kind: str, name: str, spec: Any) -> int:
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._report(kind, item, deleted=False)
        return self.revision

    def _change(self, kind: str, item: dict[str, Any], **parts: Any) -> int:
        if any(item[name] != value for name, value in parts.items()):
            self.revision += 1
            changed = {**item, **parts, "metadata": {**item["metadata"], "revision": self.revision}}
            self.objects[kind, item["metadata"]["name"]] = changed
            self._report(kind, changed, deleted=False)
        return self.revision

    def _report(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self.events.append((self.revision, kind, deleted, item))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A task that is cancelled at the end of the case must not be reported.
        with contextlib.suppress(*ENDS):
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                writer.write(encode_response(status, JSON, json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        if request.method == "GET" and name:
            found = self.objects.get((kind, unquote(name)))
            return (200, found) if found is not None else (404, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        if request.method == "GET":
            names = sorted(key[1] for key in self.objects if key[0] == kind)
            items = [self.objects[kind, each] for each in names if each > query.get("after", "")]
            return 200, {"items": items, "more_pages": False, "current_rev": self.revision}
        return self._write(request, kind, name, query)

    async def _watch(self, kind: str, after: int, wait_ms: int) -> tuple[int, Any]:
        end = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            newer = [each for each in self.events if each[0] > after and each[1] == kind]
            left_s = end - asyncio.get_running_loop().time()
            if newer or left_s <= 0:
                events = [{"deleted": deleted, "object": item} for _, _, deleted, item in newer]
                return 200, {"events": events, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(
        self, request: Message, kind: str, path: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        sent = json.loads(request.body) if request.body else {}
        name, _, part = unquote(path).partition("/")
        if request.method == "POST":
            name = sent["metadata"]["name"]
        found = self.objects.get((kind, name))
        if request.method == "POST":
            if found is not None:
                return 409, found
            self._create(kind, name, sent.get("spec"))
            return 200, self.objects[kind, name]
        if found is None:
            return 404, {}
        revision = query.get("revision") or sent.get("metadata", {}).get("revision")
        if revision is not None and int(revision) != found["metadata"]["revision"]:
            return 409, found
        if request.method == "DELETE":
            del self.objects[kind, name]
            self.revision += 1
            self._report(kind, found, deleted=True)
            return 200, found
        if part == "status":
            self._change(kind, found, status=sent.get("status"))
        else:
            self._change(kind, found, spec=sent.get("spec"))
        return 200, self.objects[kind, name]
