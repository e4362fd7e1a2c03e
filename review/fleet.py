"""Stand-ins for the cases: the platform's store, replicas, clients, and the
instances under test as separate processes. Standard library only; loopback
addresses only."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
DEPS = ROOT / "target" / "deps"
HOST = "review.example"
HISTORY_S = 20.0  # how long the store keeps its history
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


def free_port(ip: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, written to a file."""

    def __init__(self, path: Path) -> None:
        self.start = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self.start

    def __call__(self, what: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


async def read_message(reader: asyncio.StreamReader):
    """Reads one HTTP message with Content-Length (or none)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """TCP server that can be taken down and brought back on its port."""

    ip = "127.0.0.1"

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.AbstractServer | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(
            self.accept, self.ip, self.port, limit=1 << 24
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def accept(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer) -> None:
        raise NotImplementedError

    def down(self) -> None:
        """Refuses connections and resets those that are open."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: items, watches, leases, transactions."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 100
        self.era = 1
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None, float]] = []
        self.discarded = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.log_rows: list[tuple] = []

    def note(self, key: str, value: bytes | None) -> None:
        self.history.append((self.revision, key, value, time.monotonic()))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.note(key, value)
        return self.revision

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note(key, None)

    def copy(self):
        """Returns a copy of the store as it is now."""
        return (
            self.revision,
            dict(self.items),
            list(self.history),
            dict(self.leases),
        )

    def restore(self, copy) -> None:
        """Comes back from a copy: what was written since is gone."""
        self.revision, items, history, leases = copy
        self.items, self.history = dict(items), list(history)
        self.leases = dict(leases)
        self.era += 1

    def expire(self) -> None:
        now = time.monotonic()
        while self.history and now - self.history[0][3] > HISTORY_S:
            self.discarded = self.history.pop(0)[0]
        for number, (_, end) in list(self.leases.items()):
            if end <= now:
                self.end_lease(number)

    def end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key, (_, _, lease) in list(self.items.items()):
            if lease == number:
                self.delete(key)

    def row(self, key: str, value: bytes | None, revision: int):
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        text = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": text,
            "revision": revision,
            "created": revision,
            "lease": 0,
        }

    async def serve(self, reader, writer) -> None:
        while True:
            line, _headers, body = await read_message(reader)
            method, target, _ = line.split(" ")
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            self.expire()
            if parts.path == "/kv-watch":
                status, answer = await self.watch(query)
            else:
                status, answer = self.execute(method, parts.path, query, body)
            data = json.dumps(answer).encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n"
                % (status, self.era, len(data))
                + data
            )
            await writer.drain()

    async def watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.revision or after < self.discarded:
                return 410, {}
            events = [
                self.row(key, value, revision)
                for revision, key, value, _ in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def execute(self, method, path, query, body):
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            found = [
                (key, *self.items[key])
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            rows = [self.row(key, value, rev) for key, value, rev, _ in found]
            return 200, {
                "items": rows[:500],
                "has_more": len(rows) > 500,
                "current_rev": self.revision,
            }
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {
                **self.row(query["key"], item[0], item[1]),
                "current_rev": self.revision,
            }
        number = path.rpartition("/")[2]
        if path == "/kv-lease":
            ttl = json.loads(body)["ttl_ms"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"lease": lease, "ttl_ms": int(ttl * 1000)}
        if path == "/kv-txn":
            return self.txn(json.loads(body))
        if not number.isdigit() or int(number) not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(int(number))
        else:
            ttl, _ = self.leases[int(number)]
            self.leases[int(number)] = (ttl, time.monotonic() + ttl)
        return 200, {}

    def txn(self, call):
        for row in call.get("precondition", []):
            current = self.items.get(row["key"])
            if (current[1] if current else 0) != row["revision"]:
                return 412, {"items": []}
        for put in call.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for put in call.get("puts", []):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in call.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    def configure(self, version: int, routes, services, limits=None) -> None:
        """Writes a version of the configuration, as the operator does."""
        value = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits
            or {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 10000,
                "idle_timeout_ms": 60000,
            },
        }
        revision = self.put("op/config", json.dumps(value).encode())
        self.record("config acknowledged", version=version, revision=revision)


class Door(Server):
    """Another way to the store, for one machine; it can be cut."""

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.store = store

    async def serve(self, reader, writer) -> None:
        await self.store.serve(reader, writer)


def route(name: str, prefix: str, service: str | None, **fields):
    """A route of the configuration."""
    value = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 6000,
        "target_latency_ms": 600,
        "max_attempts": 2,
        "priority": 1,
        **fields,
    }
    if service is not None:
        value["service"] = service
    return value


def service(name: str, max_conns: int = 110):
    return {
        "name": name,
        "idempotent": True,
        "health_path": "/healthz",
        "max_conns": max_conns,
    }


class Replica(Server):
    """A sound replica; cases override ``work`` to disrupt it."""

    def __init__(self, ident, service, zone, store, record, slots=4):
        super().__init__()
        self.ident, self.service, self.zone = ident, service, zone
        self.store, self.record = store, record
        self.slots = slots
        self.seq = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.work_s = 0.02
        self.runs: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.extra_headers = ""
        self.announcing = True
        self.open = 0

    @property
    def key(self) -> str:
        return f"servers/{self.ident}"

    def entry(self):
        self.seq += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    def announce(self) -> None:
        self.store.put(self.key, json.dumps(self.entry()).encode())

    def stamp(self, request_id: str) -> str:
        return f"{self.ident}.{request_id}.{len(self.runs)}"

    async def serve(self, reader, writer) -> None:
        while True:
            line, headers, body = await read_message(reader)
            _method, target, _ = line.split(" ")
            if target == "/healthz":
                writer.write(
                    b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                    b"Content-Length: 0\r\n\r\n" % self.ident.encode()
                )
                continue
            request_id = headers.get("x-request-id", "")
            expected = headers.get("x-expect-instance", self.ident)
            if expected != self.ident:
                writer.write(
                    b"HTTP/1.1 421 X\r\nX-Request-Id: %s\r\n"
                    b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    % request_id.encode()
                )
                continue
            self.arrivals.append((self.record.now(), request_id))
            await self.run(request_id, target, writer)

    async def run(self, request_id, target, writer) -> None:
        """Runs a request; cases override it to reject some."""
        self.runs.append((self.record.now(), request_id))
        self.record("runs", replica=self.ident, id=request_id)
        await self.work(request_id, target, writer)

    def answer(self, request_id: str, body: bytes, status: int = 200) -> bytes:
        return (
            f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n"
            f"X-Server-Stamp: {self.stamp(request_id)}\r\n"
            f"X-Server-Load: 0,0,{self.slots}\r\n{self.extra_headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def body_for(self, request_id: str) -> bytes:
        return (f"answer to {request_id} by {self.ident};" * 4).encode()

    async def work(self, request_id, target, writer) -> None:
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(request_id, self.body_for(request_id)))
        await writer.drain()


class Instance:
    """One instance, started with the command of the deploy file."""

    def __init__(self, name, zone, folder, store, ip="127.0.0.1",
                 peer_port=0, seeds=(), bounds=None, zones=None) -> None:
        self.name, self.ip, self.folder = name, ip, folder
        self.front = free_port(ip)
        self.ready = free_port(ip)
        metrics = free_port(ip)
        peer_port = peer_port or free_port(ip)
        bounds = {
            "config_apply_ms": 3000,
            "grace_s": 6,
            "retry_budget_ratio": 0.2,
            "budget_slack": 56,
            "budget_window_s": 10,
            **(bounds or {}),
        }
        # The fields of deploy/settings.json.tmpl; only the metrics port differs,
        # so that it is a free one.
        self.settings = {
            "name": name,
            "data_centre": zone,
            "regions": zones or {zone: "north"},
            "callers": f"{ip}:{self.front}",
            "operators": f"{ip}:{self.ready}",
            "metrics": f"{ip}:{metrics}",
            "peers": f"{ip}:{peer_port}",
            "seeds": list(seeds),
            "store": store.address,
            "processor": {"share": 0.537, "speed": 2},
            "changes_ms": bounds["config_apply_ms"],
            "stop_seconds": bounds["grace_s"],
            "extras": {
                "ratio": bounds["retry_budget_ratio"],
                "slack": bounds["budget_slack"],
                "window_s": bounds["budget_window_s"],
            },
        }
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process = None

    async def start(self) -> None:
        self.path.write_text(json.dumps(self.settings))
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(DEPS)
        env["ARBUTUSBRIDGE_SETTINGS"] = str(self.path)
        log = self.log.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-S", "-m", "arbutusbridge.cmd.forward",
            cwd=ROOT, env=env, stdout=log, stderr=log,
        )
        log.close()

    async def wait_ready(self, timeout: float = 30.0) -> None:
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.returncode is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ready
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def send_signal(self, number) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()


class Answer:
    def __init__(self, status, headers, body, seconds):
        self.status, self.headers, self.body = status, headers, body
        self.seconds = seconds


class Client:
    """Sends one request at a time on a connection that it keeps."""

    def __init__(self, instance: Instance, record: Record) -> None:
        self.instance, self.record = instance, record
        self.reader = self.writer = None

    async def request(self, request_id, target, method="GET", body=b"",
                      deadline_ms=5000, slack_s=1.0, quiet=False):
        """Returns the answer, or None for a closed connection or none."""
        began = time.monotonic()
        try:
            if self.writer is None or self.writer.is_closing():
                self.reader, self.writer = await asyncio.open_connection(
                    self.instance.ip, self.instance.front
                )
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            if not quiet:
                self.record("sent", id=request_id, to=self.instance.name,
                            request=f"{method} {target}")
            self.writer.write(
                f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n".encode() + body
            )
            line, headers, answer = await asyncio.wait_for(
                read_message(self.reader), deadline_ms / 1000 + slack_s
            )
        except (OSError, EOFError, asyncio.IncompleteReadError,
                asyncio.TimeoutError) as err:
            self.record("no answer", id=request_id, error=type(err).__name__)
            self.close()
            return None
        got = Answer(int(line.split(" ")[1]), headers, answer,
                     time.monotonic() - began)
        if not quiet:
            self.record(
                "answered", id=request_id, status=got.status,
                stamp=headers.get("x-server-stamp", "-"),
                ms=round(got.seconds * 1000), body=answer[:60],
            )
        if headers.get("connection", "").lower() == "close":
            self.close()
        return got

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Fleet:
    """Everything of one case; ends all processes that it started."""

    def __init__(self, case: str) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(ROOT / "review" / case / "record.txt")
        self.record("begins", trouble=int(TROUBLE))
        self.store = Store(self.record)
        self.replicas: list[Replica] = []
        self.instances: list[Instance] = []
        self.tasks: list[asyncio.Task] = []
        self.doors: list[Server] = []

    async def add(self, replica: Replica) -> Replica:
        await replica.listen()
        replica.announce()
        self.replicas.append(replica)
        return replica

    async def start(self, *instances: Instance) -> None:
        for instance in instances:
            self.instances.append(instance)
            await instance.start()
        for instance in instances:
            await instance.wait_ready()
        await asyncio.sleep(0.5)

    async def beats(self) -> None:
        """The replicas write their entries each heartbeat."""
        while True:
            await asyncio.sleep(1.2)
            if self.store.server is None:
                continue
            for replica in self.replicas:
                if replica.announcing:
                    replica.announce()

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            await instance.end()
        for server in (*self.replicas, *self.doors, self.store):
            server.down()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for instance in self.instances:
                shutil.copy(instance.log, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case: str, play) -> None:
    """Plays a case and exits with 1 if the rule was broken, 0 if it held."""

    async def run() -> int:
        if not DEPS.is_dir():
            print("target/deps is missing: run the build of the deploy file")
            return NOT_RUN
        fleet = Fleet(case)
        try:
            await fleet.store.listen()
            broken = await asyncio.wait_for(play(fleet), 110)
            fleet.record("result", broken=broken)
            print("broken:" if broken else "held", broken or "")
            return BROKEN if broken else HELD
        except (CannotRun, asyncio.TimeoutError, AssertionError) as err:
            fleet.record("could not run", error=repr(err))
            print("could not run:", repr(err))
            return NOT_RUN
        finally:
            await fleet.end()

    sys.exit(asyncio.run(run()))
