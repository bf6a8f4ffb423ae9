"""Processes of one scenario: the stand-in platform, nodes and their local upstreams."""

import json
import os
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGSTOP, SIGTERM

from corianderwall.bench.processes import ChildProcess
from corianderwall.links.keys import generate_key_ring
from corianderwall.model.endpoint import Address
from corianderwall.standins.node_file import TOKEN, NodeFile, find_free_addresses

POLL_INTERVAL_S = 0.05
WAIT_TIMEOUT_S = 20.0
"""Timeout of each wait; scenarios don't assert durations."""
SERVICE = "placements"


@dataclass
class FleetHost:
    """A node with its settings file and its local upstream."""

    file: NodeFile
    path: Path
    node: ChildProcess
    upstream: ChildProcess | None = None
    upstream_address: Address | None = None
    version: str = ""


@dataclass(frozen=True)
class Response:
    """An HTTP response; status 0 means that there was none."""

    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def json(self):
        return json.loads(self.body or b"{}")


class Fleet:
    def __init__(self):
        self.hosts: dict[str, FleetHost] = {}
        self.folder = tempfile.TemporaryDirectory()
        self.keys = generate_key_ring()
        self.platform = ChildProcess("corianderwall.standins", "platform")
        self.platform_address = self.platform.read_address()
        self.versions_seen: dict[str, list[int]] = {}

    def start_hosts(self, zones, *, keep_logs=False):
        """Start a node for each name in `zones`, with all other nodes as its seeds."""
        addresses = {name: find_free_addresses(3) for name in zones}
        seeds = {name: f"{name}@{peer}" for name, (_, peer, _) in addresses.items()}
        for name, zone in zones.items():
            call, peer, admin = addresses[name]
            file = NodeFile(
                name=name,
                zone=zone,
                call=call,
                peer=peer,
                admin=admin,
                public_key=self.keys.public,
                secret_key=self.keys.secret,
                platform_url=f"http://{self.platform_address}",
                seeds=tuple(seed for other, seed in seeds.items() if other != name),
                timeout_ms=5000,
                log_level="info" if keep_logs else "error",
            )
            path = Path(self.folder.name) / f"{name}.toml"
            path.write_text(file.render())
            node = start_logged_node(path) if keep_logs else start_node(path)
            self.hosts[name] = FleetHost(file, path, node)

    def read_log(self, name):
        return self.hosts[name].path.with_suffix(".log").read_text()

    def restart_node(self, name):
        host = self.hosts[name]
        host.node.kill()
        host.node = start_node(host.path)

    def start_upstream(self, name, version, *options):
        host = self.hosts[name]
        host.upstream = ChildProcess(
            "corianderwall.standins",
            "upstream",
            *("--service", SERVICE, "--version", version),
            *("--node-port", str(host.file.admin.port)),
            *options,
        )
        host.upstream_address = host.upstream.read_address()
        host.version = version

    def set_upstream_switches(self, host, **switches):
        url = f"http://{host.upstream_address}/standin/switches"
        body = json.dumps(switches).encode()
        # The stand-in refuses a body that arrives in a later packet than the head, so retry.
        self.wait(lambda: fetch(url, method="PUT", body=body).status == 204, "the switches")

    def pause_node(self, name):
        self.hosts[name].node.signal(SIGSTOP)

    def resume_node(self, name):
        self.hosts[name].node.signal(SIGCONT)

    def terminate_node(self, name):
        self.hosts[name].node.signal(SIGTERM)

    def set_platform_switches(self, **switches):
        body = json.dumps(switches).encode()
        response = fetch(f"http://{self.platform_address}/switches", method="PUT", body=body)
        assert response.status in (200, 204), response

    def call_operator(self, name, method, body, *, token=TOKEN):
        address = self.hosts[name].file.admin
        return fetch(
            f"http://{address}/corianderwall.v1.Operators/{method}",
            method="POST",
            body=json.dumps(body).encode(),
            headers={"authorization": f"Bearer {token}", "content-type": "application/json"},
        )

    def call(self, name, path="/placements/1", **options):
        return fetch(f"http://{self.hosts[name].file.call}{path}", **options)

    def read_version(self, name):
        response = fetch(f"http://{self.hosts[name].file.admin}/ready")
        version = response.json.get("version", 0) if response.status == 200 else None
        if version is not None:
            self.versions_seen.setdefault(name, []).append(version)
        return version

    def read_counts(self, name):
        return fetch(f"http://{self.hosts[name].upstream_address}/standin/counts").json

    def wait(self, condition, description):
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, f"timed out waiting for: {description}"
            time.sleep(POLL_INTERVAL_S)

    def wait_ready(self, names=None):
        for name in names or self.hosts:
            self.wait(lambda name=name: self.read_version(name) is not None, f"{name} ready")

    def wait_version(self, version, names=None):
        for name in names or self.hosts:
            self.wait(
                lambda name=name: (self.read_version(name) or 0) >= version,
                f"version {version} at {name}",
            )

    def stop(self):
        for host in self.hosts.values():
            host.node.signal(SIGCONT)
            host.node.kill()
            if host.upstream is not None:
                host.upstream.kill()
        self.platform.kill()
        self.folder.cleanup()


class Callers:
    """Calls all entry nodes in turn from threads until stopped, and keeps every response."""

    def __init__(self, fleet, names, *, threads=8, method="GET"):
        self.responses = []
        self._fleet = fleet
        self._names = names
        self._method = method
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(threads)
        for number in range(threads):
            self._pool.submit(self._run, number)

    def stop(self):
        self._stopped.set()
        self._pool.shutdown()
        return self.responses

    def _run(self, number):
        while not self._stopped.is_set():
            number += 1
            name = self._names[number % len(self._names)]
            self.responses.append(self._fleet.call(name, method=self._method))


def start_node(path):
    return ChildProcess("corianderwall.app.main", "node", str(path))


def start_logged_node(path):
    """Start a node whose standard error is written to a file next to its settings file."""
    script = 'exec "$0" -m corianderwall.app.main node "$1" 2>"$2"'
    log = str(path.with_suffix(".log"))
    return ChildProcess.run("/bin/sh", "-c", script, sys.executable, str(path), log)


def fetch(url, *, method="GET", body=None, headers=None, timeout_s=WAIT_TIMEOUT_S):
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return Response(response.status, response.read(), dict(response.headers))
    except urllib.error.HTTPError as error:
        return Response(error.code, error.read(), dict(error.headers))
    except OSError as error:
        return Response(0, str(error).encode(), {})


def split_names(text):
    return [word for word in text.replace(",", " ").split() if word != "and"]


os.environ.setdefault("PYTHONUNBUFFERED", "1")
