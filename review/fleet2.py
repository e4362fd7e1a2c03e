"""Small deployment on loopback for the cases 6 to 10 of the second review.

The instances are the project's own program, started with the command of
deploy/system.toml and settings made from deploy/settings.json.tmpl. The
platform's store, the replicas and the clients are small stand-ins after
PROTOCOL.md. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
STORE_ANSWER_S = 0.004

CASE_S = 100.0
"""Time after which a case is given up, below the 120 s that it may take."""


def now() -> float:
    """Returns the steady time in seconds."""
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """File with one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.began = now()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def write(self, what: str, **fields: object) -> None:
        """Writes one line with the time since the start of the case."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.began:9.4f} {what} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


# --- HTTP -----------------------------------------------------------------


class Message:
    """Head and body of a request or an answer."""

    def __init__(
        self, first: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.first, self.headers, self.body = first, headers, body


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Reads a message that has a length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    elif has_body:
        try:
            body = await reader.readexactly(
                int(headers.get("content-length", "0"))
            )
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(lines[0], headers, body)


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Encodes an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# --- The platform's store ---------------------------------------------------


class Door:
    """Address of the store for one machine, so that it can be cut off."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.is_cut = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    def cut(self) -> None:
        """Resets the connections of the machine, and all new ones."""
        self.is_cut = True
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Lets the machine reach the store again."""
        self.is_cut = False


class Store:
    """The platform's metadata store; it loses nothing and is never down."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.down = False
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to end leases that were not renewed."""
        self.expiry = asyncio.create_task(self.expire())

    async def listen(self, door: Door) -> None:
        """Starts to listen for one machine."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if door.is_cut:
                writer.transport.abort()
                return
            door.writers.add(writer)
            try:
                await self.serve(reader, writer)
            finally:
                door.writers.discard(writer)

        door.server = await asyncio.start_server(serve, *door.address)

    async def stop(self) -> None:
        """Ends the server."""
        self.expiry.cancel()
        for task in list(self.tasks):
            task.cancel()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key; returns its revision."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.note(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event: dict) -> None:
        """Adds a change to the history."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease: int) -> bool:
        """Ends a lease and removes its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.delete(key)
        return True

    async def expire(self) -> None:
        """Ends leases that were not renewed."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (_ttl, until) in list(self.leases.items()):
                if until < now():
                    self.end_lease(lease)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while (call := await read_message(reader)) is not None:
                status, body = await self.answer(call)
                await asyncio.sleep(STORE_ANSWER_S)
                data = json.dumps(body).encode()
                head = {
                    "Content-Type": "application/json",
                    "Store-Era": "1",
                }
                writer.write(encode_answer(status, data, head))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def answer(self, call: Message) -> tuple[int, dict]:
        """Executes one call."""
        if self.down:
            return 503, {}
        method, target, _ = call.first.split(" ")
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        body = json.loads(call.body) if call.body else {}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            found = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return 200, {
                "items": [self.items[k] for k in found[:500]],
                "has_more": len(found) > 500,
                "current_rev": self.revision,
            }
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl_s = max(1.0, body["ttl_ms"] / 1000)
            self.leases[self.last_lease] = (ttl_s, now() + ttl_s)
            return 200, {
                "lease": self.last_lease,
                "ttl_ms": int(ttl_s * 1000),
            }
        number = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            ttl_s = self.leases[number][0]
            self.leases[number] = (ttl_s, now() + ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if path.startswith("/kv-lease-end/") and method == "DELETE":
            return (200, {}) if self.end_lease(number) else (404, {})
        return 400, {}

    async def watch(self, query: dict[str, str]) -> tuple[int, dict]:
        """Waits for changes under a prefix."""
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = now() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                one
                for one in self.history
                if one["revision"] > after and one["key"].startswith(prefix)
            ]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            changed = self.changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Executes a transaction."""
        for row in body.get("precondition", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in body.get("puts", ()):
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in body.get("puts", ()):
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body.get("deletes", ()):
            self.delete(key)
        return 200, {"revision": self.revision}


# --- Replicas ---------------------------------------------------------------


def stamp_of(request_id: str, replica: str, run: int) -> str:
    """Returns the signature of a run."""
    text = f"{request_id} {replica} {run}".encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


class Replica:
    """One replica: slots, a short queue, and an entry in the store.

    Attributes:
      way_s: Time on the network to it, one way.
      runs: Ids of the requests that it began to run, in order.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        slots: int = 2,
        queue: int = 4,
        work_s: float = 0.02,
        way_s: float = 0.0,
    ) -> None:
        self.store, self.record = store, record
        self.way_s = way_s
        self.name, self.service, self.zone = name, service, zone
        self.address, self.slots, self.queue = address, slots, queue
        self.work_s = work_s
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.runs: list[str] = []
        self.run_at: list[float] = []
        self.accounts: list[str] = []
        self.run_counts: dict[str, int] = {}
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.tasks: set[asyncio.Task] = set()
        self.bodies: dict[str, bytes] = {}

    async def start(self) -> None:
        """Starts to listen and registers itself."""
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.announce()

    async def stop(self) -> None:
        """Ends the replica."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def announce(self) -> None:
        """Writes the entry of the replica.

        Heartbeats that change nothing but `seq` do not change the entry, so
        that the store reports none of them.
        """
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    def load(self) -> str:
        """Returns the value of X-Server-Load."""
        return f"{self.running},{self.waiting},{self.slots}"

    def head(self, request_id: str) -> dict[str, str]:
        """Returns the headers of every answer."""
        return {
            "X-Request-Id": request_id,
            "X-Server-Load": self.load(),
            "Keep-Alive": "timeout=20",
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection, one request at a time."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(self.way_s)
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def reply(
        self, writer: asyncio.StreamWriter, data: bytes
    ) -> None:
        """Writes an answer after its time on the network."""
        await asyncio.sleep(self.way_s)
        writer.write(data)

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        request_id = request.headers.get("x-request-id", "")
        if request.first.split(" ")[1] == "/healthz":
            head = {"X-Instance-Id": self.name, "X-Server-Load": self.load()}
            writer.write(encode_answer(200, b"", head))
            return
        head = self.head(request_id)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            await self.reply(
                writer, encode_answer(421, b"", {**head, "X-Not-Executed": "1"})
            )
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record.write("rejected", id=request_id, at=self.name)
            await self.reply(
                writer, encode_answer(503, b"", {**head, "X-Not-Executed": "1"})
            )
            await self.after_rejection(request_id, writer)
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            run = self.begin(request_id, request)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
        body = self.body_for(request_id, run)
        head = {
            **self.head(request_id),
            "X-Server-Stamp": stamp_of(request_id, self.name, run),
        }
        self.record.write("done", id=request_id, at=self.name, run=run)
        await self.reply(writer, encode_answer(200, body, head))

    async def after_rejection(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Called after a request was turned away."""

    def begin(self, request_id: str, request: Message) -> int:
        """Counts a run; returns its number among those of the request here."""
        run = self.run_counts.get(request_id, 0) + 1
        self.run_counts[request_id] = run
        self.runs.append(request_id)
        self.run_at.append(now())
        self.accounts.append(request.headers.get("x-tenant", ""))
        self.record.write("run", id=request_id, at=self.name, number=run)
        return run

    def body_for(self, request_id: str, run: int) -> bytes:
        """Returns the body of the answer of one run of a request."""
        return self.bodies.get(request_id, b"done")


# --- Instances ----------------------------------------------------------------


def render(template: str, fields: dict) -> str:
    """Fills in the template of the settings as DEPLOY.md describes."""

    def look_up(path: str, stack: list) -> object:
        if path == ".":
            return stack[-1]
        for scope in reversed(stack):
            value = scope
            for step in path.split("."):
                if isinstance(value, dict) and step in value:
                    value = value[step]
                elif isinstance(value, list) and step.isdigit():
                    value = value[int(step)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(text: str, stack: list) -> str:
        def one_section(found: re.Match) -> str:
            kind, path, inner = found.groups()
            value = look_up(path, stack)
            if kind == "^":
                return "" if value else fill(inner, stack)
            if value is None or value is False:
                return ""
            entries = value if isinstance(value, list) else [value]
            parts = []
            for index, entry in enumerate(entries):
                comma = "," if index < len(entries) - 1 else ""
                parts.append(
                    fill(inner.replace("{{,}}", comma), [*stack, entry])
                )
            return "".join(parts)

        text = section.sub(one_section, text)

        def one_value(found: re.Match) -> str:
            value = look_up(found[1], stack)
            if found[2]:
                return json.dumps(value)
            if value is None:
                return ""
            if isinstance(value, list):
                return ",".join(str(one) for one in value)
            if isinstance(value, dict):
                return json.dumps(value)
            return str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", one_value, text)

    return fill(template, [fields])


class Instance:
    """One process of the project on an address of its own."""

    def __init__(self, fleet: Fleet, index: int, zone: str) -> None:
        self.fleet, self.zone = fleet, zone
        self.ip = fleet.ip(10 + index)
        self.door = Door((fleet.ip(30 + index), 8102))
        self.name = f"front-{zone}-{index}"
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, self.fleet.ports["front"]

    def fields(self) -> dict:
        """Returns the fields that the platform fills into the template."""
        ports = self.fleet.ports
        seeds = [f"{one.ip}:{ports['control']}" for one in self.fleet.instances]
        return {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "zones": self.fleet.zones,
            "listen": {
                "front": f"{self.ip}:{ports['front']}",
                "ready": f"{self.ip}:{ports['ready']}",
                "control": f"{self.ip}:{ports['control']}",
            },
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": seeds[:3],
            "platform": {"addr": "{}:{}".format(*self.door.address)},
            "limits": {"cpu_share": 0.537, "cores": 2},
            "bounds": self.fleet.bounds,
        }

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["forwarder"]
        path = self.fleet.folder / f"{self.name}.json"
        template = (ROOT / role["template"]).read_text()
        path.write_text(render(template, self.fields()))
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["ARBUTUSBRIDGE_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            role["run"].split(" "),
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self.fleet.record.write("instance_started", name=self.name)

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.fleet.record.write("signal", name=self.name, number=number)

    def kill(self) -> None:
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether /ready answers 200."""
        address = (self.ip, self.fleet.ports["ready"])
        try:
            status = await asyncio.wait_for(get_status(address, "/ready"), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return status == 200


async def get_status(address: tuple[str, int], path: str) -> int:
    """Sends a GET request on a connection of its own; returns the status."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = await read_message(reader, has_body=False)
        return int(answer.first.split(" ")[1]) if answer else 0
    finally:
        writer.close()


class Fleet:
    """A small deployment: a store, replicas and instances.

    Attributes:
      zones: Region of each zone.
      bounds: Bounds of the settings, as in the pages for small sites.
    """

    def __init__(self, folder: Path, zones: dict[str, str]) -> None:
        self.case = folder
        self.record = Record(folder)
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        self.store = Store()
        self.replicas: list[Replica] = []
        self.instances: list[Instance] = []
        self.net = self.find_net()
        self.ports = {"front": 8104, "ready": 8108, "control": 8106}
        self.ports["internal"] = 7380
        self.bounds: dict[str, object] = {
            "config_apply_ms": 3000,
            "grace_s": 6,
            "retry_budget_ratio": 0.2,
            "budget_slack": 56,
            "budget_window_s": 10,
        }

    @staticmethod
    def find_net() -> str:
        """Returns the first three numbers of free loopback addresses."""
        rng = random.Random(os.getpid())
        for _ in range(50):
            net = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
            try:
                for last in (10, 11, 12, 13, 30, 31, 32, 33):
                    for port in (8102, 8104, 8108, 9180, 7380):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{last}", port))
            except OSError:
                continue
            return net
        raise CannotRun("no free loopback addresses")

    def ip(self, last: int) -> str:
        """Returns an address of this deployment."""
        return f"{self.net}.{last}"

    def add_replica(self, service: str, zone: str, **more: object) -> Replica:
        """Adds a replica, of a class of its own if one is given."""
        kind = more.pop("kind", Replica)
        number = len(self.replicas)
        address = (self.ip(60 + number), 9000)
        name = f"i-{service}-{number}"
        replica = kind(
            self.store, self.record, name, service, zone, address, **more
        )
        self.replicas.append(replica)
        return replica

    def add_instance(self, zone: str) -> Instance:
        """Adds an instance, which is started with the others or later."""
        instance = Instance(self, len(self.instances), zone)
        self.instances.append(instance)
        return instance

    def configure(self, version: int, **fields: object) -> None:
        """Writes a version of the configuration as the operator does."""
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 60000,
        }
        document = {"version": version, "limits": limits, **fields}
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write("configured", version=version)

    async def start(self, late: Instance | None = None) -> None:
        """Starts everything and waits until all instances are ready.

        Args:
          late: Instance that the case starts itself.
        """
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("the build of the deploy file has not run")
        await self.store.start()
        for instance in self.instances:
            await self.store.listen(instance.door)
        for replica in self.replicas:
            await replica.start()
        first = [one for one in self.instances if one is not late]
        for instance in first:
            instance.start()
        until = now() + 30
        for instance in first:
            while not await instance.is_ready():
                if now() > until:
                    raise CannotRun(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)
        # All learn of each other within two delays of the watch.
        await asyncio.sleep(3.0)

    async def stop(self) -> None:
        """Ends all processes and servers, and removes the folder."""
        for instance in self.instances:
            instance.kill()
            if instance.door.server is not None:
                instance.door.server.close()
        for replica in self.replicas:
            with contextlib.suppress(AttributeError):
                await replica.stop()
        with contextlib.suppress(AttributeError):
            await self.store.stop()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


# --- Clients ------------------------------------------------------------------


class Answer:
    """What a client attempt got; status 0 for none."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status, self.headers, self.body = status, headers, body


class Connection:
    """Kept connection of one client."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self,
        method: str,
        target: str,
        host: str,
        request_id: str,
        deadline_ms: int,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Sends one attempt and waits for its answer until the deadline."""
        try:
            return await asyncio.wait_for(
                self.exchange(
                    method, target, host, request_id, deadline_ms, headers, body
                ),
                deadline_ms / 1000,
            )
        except (OSError, asyncio.TimeoutError, ValueError):
            self.close()
            return Answer(0, {}, b"")

    async def exchange(
        self,
        method: str,
        target: str,
        host: str,
        request_id: str,
        deadline_ms: int,
        headers: dict[str, str] | None,
        body: bytes,
    ) -> Answer:
        """Writes the request and reads the answer."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self.address
            )
        assert self.reader is not None
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {host}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.writer.write(head + body)
        await self.writer.drain()
        answer = await read_message(self.reader)
        if answer is None:
            self.close()
            return Answer(0, {}, b"")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        status = int(answer.first.split(" ")[1])
        return Answer(status, answer.headers, answer.body)


def new_id() -> str:
    """Returns an id for a client attempt."""
    return os.urandom(8).hex()


async def run_main(main, folder: Path, trouble: bool) -> int:
    """Runs a case; SIGTERM ends it, and all that it started."""
    task = asyncio.create_task(main(folder, trouble))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(task, CASE_S)


def run_case(main, folder: Path) -> None:
    """Runs a case, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        result = asyncio.run(run_main(main, folder, trouble))
    except (
        CannotRun,
        OSError,
        asyncio.TimeoutError,
        asyncio.CancelledError,
    ) as err:
        print(f"the case could not run: {err!r}")
        result = CANNOT_RUN
    sys.exit(result)
