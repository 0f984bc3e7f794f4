"""Stand-ins for the scripts of review 3: the platform's store, endpoints,
requesters, and the sidecar processes of a small deployment.

Everything listens on one loopback address, another one for each script. The store follows PROTOCOL.md ("The platform's
metadata store") and letter 10 (Store-Era)."""

import asyncio
import base64
import json
import os
import pathlib
import random
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = "target/bin/papayaway-sidecar"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


# An address of its own for each script, so that scripts that run at the same time
# don't take each other's ports.
HOST = f"127.{1 + os.getpid() // 65536 % 250}.{os.getpid() // 256 % 256}.{1 + os.getpid() % 254}"


class CannotRun(Exception):
    """The case could not run (exit code 2)."""


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


_ports = set()


def free_port():
    """A free port below the range from which the system takes those of outgoing
    connections, so that none of these takes it before it is used."""
    while True:
        port = random.randrange(10000, 32000)
        try:
            with socket.socket() as sock:
                sock.bind((HOST, port))
        except OSError:
            continue
        if port not in _ports:
            _ports.add(port)
            return port


async def read_message(reader):
    """Reads one HTTP message with a length or in chunks.
    Returns (first line, headers in lower case, body) or None at the end."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(first_line, headers, body=b""):
    text = first_line + "\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    READS_PER_S = 2000
    WRITES_PER_S = 400

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.history = []  # (ver, table, part, key, value or None)
        self.ver = 100
        self.era = 1
        self.changed = asyncio.Event()
        self.connections = set()
        self.server = None
        self.reads = [0, 0]
        self.writes = [0, 0]
        self.calls = {}
        self.started = time.monotonic()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=1 << 22
        )

    async def go_away(self):
        """The store is away: connections are reset, new ones are refused."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    # -- what the operator and the drill do

    def commit(self, writes, deletes=()):
        self.ver += 1
        for table, part, key, value in writes:
            self.rows[(table, part, key)] = (value, self.ver)
            self.history.append((self.ver, table, part, key, value))
        for table, part, key in deletes:
            self.rows.pop((table, part, key), None)
            self.history.append((self.ver, table, part, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def put(self, table, key, value):
        """A write of the operator; its return is the acknowledgement."""
        text = json.dumps(value).encode()
        ver = self.commit([(table, "", key, text)])
        self.record(f"operator writes {table}/{key} as ver {ver}: {text.decode()[:400]}")
        return ver

    def value(self, table, key):
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(row[0])

    def copy(self):
        return dict(self.rows), self.ver

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone."""
        self.rows, self.ver = dict(copy[0]), copy[1]
        # A read from a version that it doesn't have gets 410; the copy holds
        # rows, not the changes that led to them.
        self.history = []
        self.oldest = self.ver
        self.era += 1

    oldest = 0

    # -- the protocol

    def allowed(self, counter, limit):
        second = int(time.monotonic())
        if counter[0] != second:
            counter[0], counter[1] = second, 0
        counter[1] += 1
        return counter[1] <= limit

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, _, body = request
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                self.calls[path] = self.calls.get(path, 0) + 1
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, path, args, body)
                payload = b""
                if answer is not None:
                    answer.setdefault("ver", self.ver)
                    answer["now_ms"] = int((time.monotonic() - self.started) * 1000) + 1
                    payload = json.dumps(answer).encode()
                writer.write(
                    message(
                        f"HTTP/1.1 {status} X",
                        {"Content-Type": "application/json", "Store-Era": self.era},
                        payload,
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    @staticmethod
    def row(table, part, key, value, ver):
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def answer(self, method, path, args, body):
        if path == "/v1/rows-tx" and method == "POST":
            if not self.allowed(self.writes, self.WRITES_PER_S):
                return 429, None
            return self.transaction(json.loads(body))
        if not self.allowed(self.reads, self.READS_PER_S):
            return 429, None
        if path == "/v1/rows-get":
            return 200, self.get(args)
        if path == "/v1/rows-feed":
            return await self.feed(args)
        return 404, None

    def transaction(self, change):
        current = []
        holds = True
        for entry in change.get("precondition", []):
            name = (entry["table"], entry.get("part", ""), entry["key"])
            value, ver = self.rows.get(name, (None, 0))
            holds = holds and ver == entry["ver"]
            if ver:
                current.append(self.row(*name, value, ver))
        if not holds:
            return 412, {"rows": current}
        for entry in change.get("writes", []) + change.get("deletes", []):
            if entry["table"] in ("op", "servers"):
                return 403, None
        self.commit(
            [
                (e["table"], e.get("part", ""), e["key"], base64.b64decode(e["value"]))
                for e in change.get("writes", [])
            ],
            [(e["table"], e.get("part", ""), e["key"]) for e in change.get("deletes", [])],
        )
        return 200, {}

    def get(self, args):
        table, part = args["table"], args.get("part", "")
        limit = min(int(args.get("limit", 500)), 500)
        names = sorted(n for n in self.rows if n[0] == table and n[1] == part)
        if args.get("from"):
            names = [n for n in names if n[2] >= args["from"]]
        if args.get("target"):
            names = [n for n in names if n[2] < args["target"]]
        rows = [self.row(*n, *self.rows[n]) for n in names[:limit]]
        return {"rows": rows, "has_more": len(names) > limit}

    async def feed(self, args):
        after = int(args["after"])
        until = time.monotonic() + min(int(args.get("wait_ms", 0)), 30000) / 1000
        if after > self.ver or after < self.oldest:
            return 410, None
        while True:
            rows = [
                self.row(table, part, key, value, ver)
                for ver, table, part, key, value in self.history
                if table == args["table"] and ver > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Endpoint:
    """An application endpoint. It checks in at its node's admin address."""

    def __init__(self, record, service, zone, node, version="v1", work_s=0.02):
        self.record, self.service, self.zone, self.node = record, service, zone, node
        self.version, self.work_s = version, work_s
        self.port = free_port()
        self.slots = 12
        self.fail_share = 0.0
        self.runs = {}  # request id -> number of runs
        self.servers = None
        self.connections = set()
        self.beat_task = None
        self.started_count = 0
        self.state = "ready"

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.started_count += 1
        self.id = f"i-{self.node.name}-{self.started_count}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=1 << 22
        )
        self.beat_task = asyncio.create_task(self.beats())

    async def end(self):
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def drain_and_end(self, drain_s=2.0):
        """Reports "draining", serves on, then says that it leaves and exits."""
        self.state = "draining"
        await self.beat()
        await asyncio.sleep(drain_s)
        self.beat_task.cancel()
        status = await self.call("DELETE", f"/v1/instances/{self.id}")
        self.record(f"endpoint {self.id} leaves, answer {status}")
        await self.end()

    async def call(self, method, path, body=b""):
        try:
            answer = await asyncio.wait_for(
                exchange(
                    self.node.admin,
                    message(
                        f"{method} {path} HTTP/1.1",
                        {"Host": "node", "Content-Type": "application/json"},
                        body,
                    ),
                ),
                1.0,
            )
            return answer[0]
        except (OSError, asyncio.TimeoutError):
            return None

    async def beat(self):
        self.sequence += 1
        body = {
            "address": self.address,
            "born": self.born,
            "node_info": {
                "service": self.service,
                "version": self.version,
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining_ms": 0,
            },
        }
        return await self.call(
            "PUT", f"/v1/instances/{self.id}", json.dumps(body).encode()
        )

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(0.5)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                line, headers, _ = request
                request_id = headers.get("x-request-id")
                expected = headers.get("x-target-instance", self.id)
                out = {"X-Request-Id": request_id or "", "X-Server-Load": f"1,0,{self.slots}"}
                if expected != self.id:
                    writer.write(
                        message("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.id})
                    )
                    continue
                if request_id is None:
                    writer.write(message("HTTP/1.1 400 Bad Request", {"X-Not-Executed": "1"}))
                    continue
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
                self.record(
                    f"endpoint {self.id} ({self.service} {self.version}) runs {request_id} {line}"
                )
                await asyncio.sleep(self.work_s)
                out["X-Reply-Signature"] = f"sig.{self.id}.{request_id}"
                writer.write(
                    message("HTTP/1.1 200 OK", out, f"{self.service} {request_id}\n".encode())
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def exchange(address, data):
    """Sends one request on a new connection. Returns (status, headers, body);
    the status is None if the connection ended without an answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
    try:
        writer.write(data)
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            return None, {}, b""
        return int(answer[0].split(" ")[1]), answer[1], answer[2]
    except ConnectionError:
        return None, {}, b""
    finally:
        writer.close()


class KeptConnection:
    """A requester's connection that is kept for many requests."""

    def __init__(self, node):
        self.node = node
        self.reader = self.writer = None

    async def open(self):
        host, port = self.node.caller.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def request(self, request_id, host, path, method="GET", timeout_ms=1000, body=b""):
        """Returns the status, or None if the connection ended without an answer."""
        headers = {"Host": host, "X-Request-Id": request_id, "X-Timeout-Ms": timeout_ms}
        status = None
        try:
            self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            answer = await asyncio.wait_for(read_message(self.reader), timeout_ms / 1000 + 0.5)
            status = None if answer is None else int(answer[0].split(" ")[1])
        except (OSError, asyncio.TimeoutError) as error:
            status = None if isinstance(error, OSError) else "late"
        self.node.deployment.record(
            f"requester at {self.node.name}, kept connection: {request_id} {method} {path} -> "
            f"{'closed without an answer' if status is None else status}"
        )
        return status

    def close(self):
        if self.writer:
            self.writer.close()


class Node:
    """One sidecar process, started with the command of the deploy file and its
    template filled in."""

    def __init__(self, deployment, name, zone, region, service, bounds):
        self.deployment, self.name, self.zone, self.region = deployment, name, zone, region
        self.service, self.bounds = service, bounds
        self.caller, self.admin, self.readiness = (
            f"{HOST}:{free_port()}" for _ in range(3)
        )
        self.ports = [free_port(), free_port()]
        self.process = None
        self.starts = 0

    def settings(self, endpoint):
        text = (ROOT / "deploy/sidecar.ini").read_text(encoding="utf-8")
        values = {
            "node_id": self.name,
            "zone": self.zone,
            "region": self.region,
            "bootstrap|json": "true" if self.starts == 0 else "false",
            "bind.outbound": self.caller,
            "bind.admin": self.admin,
            "bind.readiness": self.readiness,
            "ip": HOST,
            "internal_ports.0": str(self.ports[0]),
            "internal_ports.1": str(self.ports[1]),
            "local_app": endpoint.address,
            "service": self.service,
            "heartbeat_ms": "500",
            "provider.address": self.deployment.store.address,
            "bounds.config_apply_ms": str(self.bounds["config_apply_ms"]),
            "bounds.grace_s": str(self.bounds["grace_s"]),
            "bounds.retry_budget_ratio": str(self.bounds["retry_budget_ratio"]),
        }
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise CannotRun("the template has a placeholder that the script doesn't know")
        path = pathlib.Path(self.deployment.folder) / f"{self.name}.ini"
        path.write_text(text, encoding="utf-8")
        return path

    async def start(self, endpoint):
        path = self.settings(endpoint)
        self.starts += 1
        log = open(pathlib.Path(self.deployment.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / BINARY),
            "--settings",
            str(path),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ["PATH"],
                "PAPAYAWAY_NODE_FILE": str(path),
                "PAPAYAWAY_SIDECAR_LIMITS": self.deployment.limits,
            },
        )
        log.close()
        self.deployment.record(f"node {self.name} started, process {self.process.pid}")

    def log_lines(self, event):
        path = pathlib.Path(self.deployment.folder) / f"{self.name}.log"
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                yield line

    async def ready(self):
        try:
            answer = await asyncio.wait_for(
                exchange(
                    self.readiness, message("GET /v1/ready HTTP/1.1", {"Host": "node"})
                ),
                1.0,
            )
            return answer[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def request(self, request_id, host, path, method="GET", timeout_ms=1000, body=b"", extra=None):
        """One requester attempt at this node. Returns (status, headers, body)."""
        headers = {"Host": host, "X-Request-Id": request_id, "X-Timeout-Ms": timeout_ms}
        headers.update(extra or {})
        try:
            status, got, content = await asyncio.wait_for(
                exchange(self.caller, message(f"{method} {path} HTTP/1.1", headers, body)),
                timeout_ms / 1000 + 0.5,
            )
        except (OSError, asyncio.TimeoutError) as error:
            status, got, content = None, {}, repr(error).encode()
        self.deployment.record(
            f"requester at {self.name}: {request_id} {method} {path} -> {status} "
            f"{content[:60]!r}"
        )
        return status, got, content


class Deployment:
    """A small deployment: a store, and nodes each beside one endpoint."""

    BOUNDS = {
        "config_apply_ms": 2000,
        "stable_ms": 3000,
        "grace_s": 6,
        "retry_budget_ratio": 0.2,
    }

    def __init__(self, folder):
        if not (ROOT / BINARY).exists():
            raise CannotRun(f"{BINARY} is missing: run the build of the deploy file")
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="papayaway-review-")
        self.folder = self.temporary.name
        self.store = Store(self.record)
        self.limits = "\n"  # PAPAYAWAY_SIDECAR_LIMITS of the deploy file
        self.nodes = []
        self.endpoints = []

    def add(self, name, zone, region, service, work_s=0.02):
        node = Node(self, name, zone, region, service, self.BOUNDS)
        self.nodes.append(node)
        self.endpoints.append(Endpoint(self.record, service, zone, node, work_s=work_s))
        return node

    async def start(self):
        await self.store.start()
        for node, endpoint in zip(self.nodes, self.endpoints):
            await node.start(endpoint)
        for endpoint in self.endpoints:
            await endpoint.start()

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(await asyncio.gather(*(node.ready() for node in self.nodes))):
                self.record("all nodes are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes were not ready in time")

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in pathlib.Path(self.folder).iterdir():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()


def route(name, prefix, service, kind="safe", timeout_ms=1000, max_attempts=2):
    return {
        "name": name,
        "type": kind,
        "target_latency_ms": 600,
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {"service": service, "timeout_ms": timeout_ms, "max_attempts": max_attempts},
    }


def desired_state(version, rules, services, host="shop.example"):
    return {
        "version": f"{version:08x}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "listeners": [{"hostname": host, "route_rules": rules}],
        "clusters": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 120,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
    }


def run_case(folder, case):
    """Runs the case, an async function of a Deployment that returns whether the
    rule held, and exits as the review asks: 0 held, 1 broken, 2 couldn't run."""

    async def play():
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment), 110)
        finally:
            await deployment.stop()

    try:
        held = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"couldn't run: {error!r}", flush=True)
        sys.exit(2)
    sys.exit(0 if held else 1)
