"""A stand-in of the platform's store, as the page on the protocol describes it."""

import asyncio
import json
import time
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from harness.http import Message, Reply, Server


class Store:
    """Keeps objects by kind and name, with one revision counter and their history."""

    def __init__(self) -> None:
        self.revision = 10
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._servers: list[Server] = []
        self.read_at: dict[str, float] = {}
        # Machines whose paths to the store drop everything.
        self.cut: set[str] = set()

    async def listen(self, host: str, port: int, machine: str) -> None:
        """Accept the connections of a machine."""
        server = Server(partial(self._handle, machine))
        self._servers.append(server)
        await server.listen(host, port)

    def close(self) -> None:
        """End the store."""
        for server in self._servers:
            server.close()

    def put(self, kind: str, name: str, spec: Any = None, status: Any = None) -> dict[str, Any]:
        """Write an object, as the operator does; None leaves the spec or the status as it is."""
        former = self.objects.setdefault(kind, {}).get(name)
        kept = former or {"spec": None, "status": None}
        spec = kept["spec"] if spec is None else spec
        status = kept["status"] if status is None else status
        if former is not None and (former["spec"], former["status"]) == (spec, status):
            return former
        self.revision += 1
        created = former["metadata"]["create_rev"] if former else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = item
        self._report(kind, item, deleted=False)
        return item

    def _delete(self, kind: str, name: str) -> None:
        item = self.objects[kind].pop(name)
        self.revision += 1
        metadata = item["metadata"] | {"revision": self.revision}
        self._report(kind, item | {"metadata": metadata}, deleted=True)

    def _report(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, machine: str, request: Message) -> Reply:
        await asyncio.sleep(0.004)
        await self._drop_if_cut(machine)
        url = urlsplit(request.target)
        path = [unquote(part) for part in url.path.removeprefix("/api/objects/").split("/")]
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if request.method == "GET":
            if path[0] == "config":
                # When the machine has last read or watched the configuration.
                self.read_at[machine] = time.monotonic()
            status, body = await self._read(path, query)
        else:
            content = json.loads(request.body) if request.body else {}
            status, body = self._write(request.method, path, content, query)
        await self._drop_if_cut(machine)
        encoded = json.dumps(body).encode()
        return Reply(status, {"Content-Type": "application/json"}, encoded)

    async def _drop_if_cut(self, machine: str) -> None:
        """Hold a call of a machine that is cut off; its connection carries nothing any more."""
        if machine in self.cut:
            await asyncio.Event().wait()

    async def _read(self, path: list[str], query: dict[str, str]) -> tuple[int, Any]:
        items = self.objects.get(path[0], {})
        if "watch" in query:
            return await self._watch(path[0], int(query["watch"]), int(query.get("wait_ms", "0")))
        if len(path) > 1:
            found = items.get(path[1])
            return (200, found) if found is not None else (404, {})
        names = sorted(name for name in items if name > query.get("after", ""))
        page = names[:500]
        return 200, {
            "items": [items[name] for name in page],
            "more_pages": len(names) > len(page),
            "current_rev": self.revision,
        }

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not self._find_events(kind, since):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return 200, {"events": self._find_events(kind, since), "current_rev": self.revision}

    def _find_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "deleted": deleted}
            for revision, of, item, deleted in self._events
            if of == kind and revision > since
        ]

    def _write(
        self, method: str, path: list[str], body: dict[str, Any], query: dict[str, str]
    ) -> tuple[int, Any]:
        kind = path[0]
        metadata = body.get("metadata", {})
        name = path[1] if len(path) > 1 else metadata["name"]
        former = self.objects.get(kind, {}).get(name)
        if method == "POST":
            if former is not None:
                return 409, former
            return 200, self.put(kind, name, body.get("spec"))
        if former is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != former["metadata"]["revision"]:
            return 409, former
        if method == "DELETE":
            self._delete(kind, name)
            return 200, {}
        if path[2:] == ["status"]:
            return 200, self.put(kind, name, status=body.get("status"))
        return 200, self.put(kind, name, body.get("spec"))
