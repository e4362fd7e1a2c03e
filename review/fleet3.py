"""Stand-ins for the cases 11 and later: store, replicas, clients, instances.

Everything but the instances runs in one process on one event loop and one
clock, so that what was sent, run and answered can be compared. The instances
are real processes, started with the command of the deploy file. Only the
standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent

HELD = 0
BROKEN = 1
NOT_RUN = 2

CONFIG_KEY = "op/config"


def now() -> float:
    """Returns the time of the one clock, in seconds."""
    return time.monotonic()


def free_port(ip: str) -> int:
    """Returns a port of an address that is free at this moment."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


@dataclass
class Message:
    """HTTP message as it was read.

    Attributes:
      first: First line, split at spaces.
      headers: Header values by lower-case name.
      body: Complete body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Reads an HTTP message with a length, None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0")) if has_body else 0
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(lines[0].split(" ", 2), headers, body)


def encode(
    status: int, headers: dict[str, str], body: bytes, phrase: str = "-"
) -> bytes:
    """Encodes an HTTP response with a length."""
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """Stand-in of the platform's store, by PROTOCOL.md.

    Attributes:
      items: Item by key: value, revision, created, lease.
      history: Events since the start, oldest first.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self.revision = 10
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 1000
        self.changed = asyncio.Condition()
        self.waiting: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=2**24
        )
        self.address = self.server.sockets[0].getsockname()[:2]

    async def put(self, key: str, value: bytes, lease: int = 0) -> float:
        """Writes a key and returns the time of the acknowledgement."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item: dict[str, object] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(dict(item))
        async with self.changed:
            self.changed.notify_all()
        return now()

    async def delete(self, key: str) -> float:
        """Removes a key and returns the time of the acknowledgement."""
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )
            async with self.changed:
                self.changed.notify_all()
        return now()

    def cut_watches(self) -> int:
        """Cuts the watches that wait now, and returns their number."""
        count = len(self.waiting)
        for writer in list(self.waiting):
            writer.close()
        self.waiting.clear()
        return count

    async def expire(self) -> None:
        """Removes the keys of leases that have ended."""
        for lease, (_, until) in list(self.leases.items()):
            if until <= now():
                await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                await self.delete(key)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                status, body = await self.answer(message, writer)
                if not status:
                    break
                await asyncio.sleep(0.004)
                data = json.dumps(body).encode()
                headers = {"Content-Type": "application/json"}
                headers["Store-Era"] = "1"
                writer.write(encode(status, headers, data))
                await writer.drain()
        writer.close()

    async def answer(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, object]:
        """Returns the status and the body of the answer to a call."""
        await self.expire()
        method, target = message.first[0], message.first[1]
        url = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                url.query, keep_blank_values=True
            ).items()
        }
        path = url.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "current_rev": self.revision,
            }
        if path == "/kv-watch":
            return await self.watch(query, writer)
        if path == "/kv-txn":
            return await self.transact(json.loads(message.body))
        if path == "/kv-lease" and method == "POST":
            ttl_s = json.loads(message.body)["ttl_ms"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl_s, now() + ttl_s)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_s * 1000}
        number = path.rpartition("/")[2]
        lease = int(number) if number.isdigit() else 0
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {"ttl_ms": ttl_s * 1000}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(
        self, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> tuple[int, object]:
        """Answers a watch once there is an event or its time has passed."""
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = now() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                one
                for one in self.history
                if int(str(one["revision"])) > after
                and str(one["key"]).startswith(prefix)
            ]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            self.waiting.add(writer)
            try:
                async with self.changed:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), left)
            finally:
                self.waiting.discard(writer)
            if writer.transport.is_closing():
                return 0, {}

    async def transact(self, body: dict[str, list[object]]) -> tuple[int, object]:
        """Executes a transaction."""
        for row in body.get("precondition", []):
            assert isinstance(row, dict)
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in body.get("puts", []):
            assert isinstance(put, dict)
            lease = int(put.get("lease") or 0)
            if lease and lease not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            assert isinstance(put, dict)
            value = base64.b64decode(put["value"])
            await self.put(put["key"], value, int(put.get("lease") or 0))
        for key in body.get("deletes", []):
            await self.delete(str(key))
        return 200, {"revision": self.revision}


@dataclass
class Run:
    """One request as a replica got it.

    Attributes:
      replica: Id of the replica.
      service: Its service.
      request_id: Id of the request.
      at: When it arrived.
      ran: Whether the replica began to work on it.
      ended: How it ended, empty while it is at work.
    """

    replica: str
    service: str
    request_id: str
    at: float
    ran: bool
    ended: str = ""


Behaviour = Callable[["Replica", Message, Run], Awaitable[bytes | None]]


class Replica:
    """Stand-in of a replica.

    Attributes:
      work_s: Time that a request takes.
      behaviour: Returns the bytes of an answer instead of the usual ones.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        name: str,
        zone: str = "z1",
        work_s: float = 0.02,
        slots: int = 4,
        behaviour: Behaviour | None = None,
    ) -> None:
        self.store = store
        self.service = service
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.behaviour = behaviour
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listens and announces itself."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=2**20
        )
        self.address = self.server.sockets[0].getsockname()[:2]
        await self.announce()

    async def announce(self) -> float:
        """Writes the entry and returns the time of the acknowledgement.

        A heartbeat changes only ``seq``, and the entry changes only when more
        than that does; heartbeats are therefore left out.
        """
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        value = json.dumps(entry).encode()
        return await self.store.put(f"servers/{self.name}", value)

    async def withdraw(self) -> float:
        """Removes the entry; returns the time of the acknowledgement."""
        return await self.store.delete(f"servers/{self.name}")

    async def stop(self) -> None:
        """Ends the replica with all of its work."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for run in self.runs:
            if run.ran and not run.ended:
                run.ended = "ended with the replica"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                data = await self.answer(message)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, message: Message) -> bytes | None:
        """Runs a request and returns the answer."""
        request_id = message.headers.get("x-request-id", "")
        if message.first[1] == "/healthz":
            return encode(200, {"X-Instance-Id": self.name}, b"")
        expected = message.headers.get("x-expect-instance", self.name)
        echo = {"X-Request-Id": request_id}
        if expected != self.name:
            return encode(421, {**echo, "X-Instance-Id": self.name}, b"")
        run = Run(self.name, self.service, request_id, now(), True)
        self.runs.append(run)
        if self.behaviour is not None:
            data = await self.behaviour(self, message, run)
            if data is not None:
                return data
        await asyncio.sleep(self.work_s)
        if run.ended:
            return None
        run.ended = "200"
        stamp = f"{random.getrandbits(32):08x}.{self.name}"
        headers = {**echo, "X-Server-Stamp": stamp}
        body = f"{self.service} {request_id}\n".encode()
        return encode(200, headers, body, "OK")


@dataclass
class Answer:
    """What a client got for one request.

    Attributes:
      request_id: Id of the request.
      at: When it was sent.
      status: HTTP status, 0 without an answer.
      headers: Headers of the answer.
      body: Its body.
      done_at: When it arrived.
    """

    request_id: str
    at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    done_at: float = 0.0


async def send(
    address: tuple[str, int],
    host: str,
    path: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 6000,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends one request on a new connection and waits for its answer."""
    request_id = f"{random.getrandbits(64):016x}"
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    answer = Answer(request_id, now())
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(*address)
            try:
                answer.at = now()
                writer.write(data)
                message = await read_message(reader)
                if message is not None:
                    answer.status = int(message.first[1])
                    answer.headers = message.headers
                    answer.body = message.body
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        pass
    answer.done_at = now()
    return answer


class Record:
    """Writes what happened to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = now()
        self.file = (folder / "record.txt").open("w")

    def line(self, text: str, at: float | None = None) -> None:
        """Writes a line with its time since the start."""
        seconds = (now() if at is None else at) - self.began
        self.file.write(f"{seconds:9.3f} {text}\n")
        self.file.flush()


class Instance:
    """A real instance, started with the command of the deploy file.

    Attributes:
      callers: Address for clients.
      ready_address: Address of ``GET /ready``.
    """

    def __init__(
        self, number: int, zone: str, fleet: Fleet, **settings: object
    ) -> None:
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.fleet = fleet
        self.ip = f"{fleet.network}.{number}"
        self.callers = (self.ip, free_port(self.ip))
        self.ready_address = (self.ip, free_port(self.ip))
        self.metrics = (self.ip, free_port(self.ip))
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.process: asyncio.subprocess.Process | None = None
        self.settings = settings

    def write_settings(self) -> Path:
        """Writes the settings, as the template of the deploy file has them."""
        fleet = self.fleet
        path = self.folder / "settings.json"
        settings = {
            "name": self.name,
            "data_centre": self.zone,
            "regions": fleet.regions,
            "callers": "%s:%d" % self.callers,
            "operators": "%s:%d" % self.ready_address,
            "metrics": "%s:%d" % self.metrics,
            "peers": f"{self.ip}:{fleet.peer_port}",
            "seeds": [],
            "store": "%s:%d" % fleet.store.address,
            "processor": {"share": 0.537, "speed": 2},
            "changes_ms": 3000,
            "stop_seconds": 6,
            "extras": {"ratio": 0.2, "slack": 56, "window_s": 10},
            **self.settings,
        }
        path.write_text(json.dumps(settings))
        return path

    async def start(self) -> None:
        """Starts the process."""
        text = (ROOT / "deploy/system.toml").read_text()
        command = tomllib.loads(text)["roles"]["forwarder"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ARBUTUSBRIDGE_SETTINGS"] = str(self.write_settings())
        log = (self.folder / "log.txt").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def is_ready(self) -> bool:
        """Asks for readiness, as the platform does."""
        answer = await send(self.ready_address, "ready", "/ready")
        return answer.status == 200

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        """Waits until the instance reports itself ready."""
        until = now() + seconds
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Fleet:
    """A small deployment: one store, replicas and instances."""

    def __init__(self, folder: Path, regions: dict[str, str]) -> None:
        self.case = folder
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.regions = regions
        self.record = Record(folder)
        self.store = Store()
        self.replicas: list[Replica] = []
        self.instances: list[Instance] = []
        # Runs beside each other use different addresses.
        self.network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.peer_port = 0
        self.version = 0
        self.tasks: set[asyncio.Task[object]] = set()

    async def add_replica(self, service: str, **terms: object) -> Replica:
        """Starts a replica."""
        name = f"i-{len(self.replicas):02d}{random.getrandbits(32):08x}"
        replica = Replica(self.store, service, name, **terms)  # type: ignore[arg-type]
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def configure(self, document: dict[str, object]) -> float:
        """Writes a version; returns the time of its acknowledgement."""
        self.version = int(str(document["version"]))
        at = await self.store.put(CONFIG_KEY, json.dumps(document).encode())
        self.record.line(f"version {self.version} acknowledged", at)
        return at

    async def start_instances(self, zones: list[str], **settings: object) -> bool:
        """Starts instances and waits until they are ready."""
        if not self.peer_port:
            self.peer_port = free_port(f"{self.network}.1")
        first = len(self.instances) + 1
        new = [
            Instance(number, zone, self, **settings)
            for number, zone in enumerate(zones, first)
        ]
        self.instances += new
        for instance in new:
            await instance.start()
        ready = [await instance.wait_ready() for instance in new]
        self.record.line(f"{sum(ready)} of {len(new)} instances ready")
        return all(ready)

    def background(self, work: Awaitable[object]) -> None:
        """Runs work beside the rest."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)

    async def end(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            await instance.kill()
        for replica in self.replicas:
            await replica.stop()
        for instance in self.instances:
            log = instance.folder / "log.txt"
            if os.environ.get("KEEP_LOGS"):
                shutil.copy(log, Path(os.environ["KEEP_LOGS"]) / f"{instance.name}.log")
        shutil.rmtree(self.folder, ignore_errors=True)


def route(
    name: str, prefix: str, service: str | None, **terms: object
) -> dict[str, object]:
    """Returns a route of the configuration."""
    found: dict[str, object] = {
        "name": name,
        "host": "crew.example",
        "prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 6000,
        "target_latency_ms": 673,
        "priority": 2,
        "max_attempts": 2,
    }
    if service is not None:
        found["service"] = service
    return {**found, **terms}


def configuration(
    version: int,
    routes: list[dict[str, object]],
    services: list[str],
    **terms: object,
) -> dict[str, object]:
    """Returns a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **terms,
    }


def main(play: Callable[[Fleet, bool], Awaitable[int]], regions: dict[str, str]) -> None:
    """Plays a case and exits with its result.

    Args:
      play: Plays the case, given whether its disruption comes, and returns the
        exit code.
      regions: Region of each zone.
    """
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        fleet = Fleet(folder, regions)
        try:
            async with asyncio.timeout(110):
                return await play(fleet, trouble)
        except (OSError, TimeoutError, RuntimeError) as err:
            fleet.record.line(f"the case could not run: {err!r}")
            return NOT_RUN
        finally:
            await fleet.end()

    code = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    raise SystemExit(code)
