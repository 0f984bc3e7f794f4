"""Stand-ins of the platform's store, of endpoints and of requesters, and the
start of real sidecars, for the scripts of the review. Standard library only;
loopback addresses, free ports and the real clock."""

import base64
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_used_ports = set()


def free_port(ip="127.0.0.1"):
    """Returns a port that is free now and outside of the range from which the
    system takes ports for connections."""
    while True:
        port = random.randrange(10000, 32000)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's store: rows-tx, rows-get and rows-feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                if parts.path == "/v1/rows-get":
                    self.answer(200, store.read(query))
                elif parts.path == "/v1/rows-feed":
                    self.answer(200, store.feed(query))
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if self.path == "/v1/rows-tx":
                    self.answer(*store.commit(body))
                else:
                    self.answer(404, {})

        self.server = QuietServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @staticmethod
    def now_ms():
        return int(time.monotonic() * 1000)

    def read(self, query):
        with self.changed:
            rows = sorted(
                (row for row in self.rows.values()
                 if row["table"] == query["table"] and not row.get("deleted")
                 and row["part"] == query.get("part", "")
                 and row["key"] >= query.get("from", "")),
                key=lambda row: row["key"].encode())
            limit = int(query.get("limit", 500))
            return {"rows": rows[:limit], "has_more": len(rows) > limit,
                    "ver": self.version, "now_ms": self.now_ms()}

    def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            while True:
                rows = sorted((row for row in self.rows.values()
                               if row["table"] == query["table"] and row["ver"] > after),
                              key=lambda row: row["ver"])
                left = end - time.monotonic()
                if rows or left <= 0:
                    return {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
                self.changed.wait(left)

    def commit(self, body, operator=False):
        with self.changed:
            conditions = body.get("precondition", [])

            def current(entry):
                row = self.rows.get((entry["table"], entry.get("part", ""), entry["key"]))
                return row if row and not row.get("deleted") else None

            for entry in conditions:
                row = current(entry)
                if (row["ver"] if row else 0) != entry["ver"]:
                    return 412, {"rows": [r for r in map(current, conditions) if r],
                                 "ver": self.version, "now_ms": self.now_ms()}
            if not operator and any(e["table"] in ("op", "servers")
                                    for e in body.get("writes", []) + body.get("deletes", [])):
                return 403, {}
            self.version += 1
            for entry in body.get("writes", []):
                self.rows[(entry["table"], entry.get("part", ""), entry["key"])] = {
                    "table": entry["table"], "part": entry.get("part", ""),
                    "key": entry["key"], "value": entry["value"], "ver": self.version}
            for entry in body.get("deletes", []):
                key = (entry["table"], entry.get("part", ""), entry["key"])
                if key in self.rows:
                    self.rows[key] = dict(self.rows[key], deleted=True, value="", ver=self.version)
            self.changed.notify_all()
            return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def operator_writes(self, key, value):
        """Writes op/KEY as the operator does."""
        self.commit({"writes": [{"table": "op", "key": key, "value":
                                 base64.b64encode(json.dumps(value).encode()).decode()}]},
                    operator=True)

    def status(self, key):
        with self.changed:
            row = self.rows.get(("status", "", key))
            return json.loads(base64.b64decode(row["value"])) if row else None


def desired_state(version, hostname, rules, services, limits=None):
    """rules: list of (name, prefix, service, type, timeout_ms, max_attempts)."""
    return {
        "version": "%08x" % version,
        "listeners": [{"hostname": hostname, "route_rules": [
            {"name": name, "match": {"prefix": prefix}, "type": kind,
             "priority": 0, "target_latency_ms": 800,
             "action": {"service": service, "timeout_ms": timeout,
                        "max_attempts": attempts}}
            for name, prefix, service, kind, timeout, attempts in rules]}],
        "clusters": [{"name": name, "max_connections": 120, "health_path": "/healthz"}
                     for name in services],
        "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                             "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
    }


class Endpoint:
    """An application endpoint: runs requests and sends its check-ins to the
    node on its machine."""

    def __init__(self, record, ident, service, version="v1", work=None, slots=12, address=None):
        self.record = record
        self.ident = ident
        self.service = service
        self.version = version
        self.slots = slots
        self.work = work or (lambda request: (200, b"ok\n"))
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.lock = threading.Lock()
        self.admin = None
        self.running = True
        endpoint = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1

            def log_message(self, *args):
                pass

            def handle_any(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                ident = self.headers.get("X-Request-Id", "")
                wanted = self.headers.get("X-Target-Instance")
                if wanted is not None and wanted != endpoint.ident:
                    self.reply(421, ident, b"", [("X-Not-Executed", "1")])
                    return
                if not ident:
                    self.reply(400, ident, b"", [("X-Not-Executed", "1")])
                    return
                run = {"id": ident, "method": self.command, "path": self.path,
                       "headers": dict(self.headers.items()), "body": body,
                       "at": time.monotonic()}
                with endpoint.lock:
                    endpoint.runs.append(run)
                endpoint.record("endpoint %s runs %s %s %s" % (
                    endpoint.ident, ident, self.command, self.path))
                status, data = endpoint.work(run)
                endpoint.record("endpoint %s answers %s with %d, %d bytes" % (
                    endpoint.ident, ident, status, len(data)))
                self.reply(status, ident, data,
                           [("X-Reply-Signature", "sig-%s-%s" % (endpoint.ident, ident))])

            def reply(self, status, ident, data, headers):
                self.send_response(status)
                self.send_header("X-Request-Id", ident)
                for name, value in headers:
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

            do_GET = do_POST = do_PUT = handle_any

        self.server = QuietServer(address or ("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def check_in_to(self, admin):
        self.admin = admin
        threading.Thread(target=self._check_in_loop, daemon=True).start()

    def check_in(self):
        self.sequence += 1
        body = json.dumps({
            "address": self.address, "born": self.born,
            "node_info": {"service": self.service, "version": self.version,
                          "zone": "zone-a", "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "cold_remaining_ms": 0}})
        return http_call(self.admin, "PUT", "/v1/instances/" + self.ident, body)

    def leave(self):
        return http_call(self.admin, "DELETE", "/v1/instances/" + self.ident, "")

    def _check_in_loop(self):
        while self.running:
            self.check_in()
            time.sleep(1.5)


def http_call(address, method, path, body="", timeout=1.0):
    """One call on a connection of its own. Returns the status, or None."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as connection:
            connection.sendall(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                                "Content-Length: %d\r\nConnection: close\r\n\r\n%s"
                                % (method, path, address, len(body), body)).encode())
            data = connection.recv(65536)
            return int(data.split(b" ", 2)[1]) if data else None
    except (OSError, ValueError, IndexError):
        return None


class Connection:
    """A requester's connection, which may carry several requests."""

    def __init__(self, address, segment=None, receive_buffer=None, timeout=10):
        host, port = address.split(":")
        self.socket = socket.socket()
        if segment:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(timeout)
        self.socket.connect((host, int(port)))
        self.buffer = b""

    def send(self, ident, host, path, method="GET", body=b"", timeout_ms=2500, extra=()):
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n" % (
            method, path, host, ident, timeout_ms)
        for line in extra:
            head += line + "\r\n"
        if method != "GET" or body:
            head += "Content-Length: %d\r\n" % len(body)
        self.socket.sendall(head.encode() + b"\r\n" + body)

    def read_answer(self, pace=None):
        """Returns a dict with status, headers, body and whether the answer is
        complete; status None if the connection ended before the header did.
        pace: bytes per second at which the body is read."""
        answer = {"status": None, "headers": {}, "body": b"", "complete": False, "error": ""}
        try:
            while b"\r\n\r\n" not in self.buffer:
                data = self.socket.recv(4096)
                if not data:
                    answer["error"] = "closed"
                    return answer
                self.buffer += data
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            answer["status"] = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                name, value = line.split(":", 1)
                answer["headers"][name.strip().lower()] = value.strip()
            length = int(answer["headers"].get("content-length", 0))
            while len(self.buffer) < length:
                data = self.socket.recv(min(65536, length - len(self.buffer)))
                if not data:
                    answer["error"] = "closed after %d of %d bytes" % (len(self.buffer), length)
                    answer["body"] = self.buffer
                    return answer
                self.buffer += data
                if pace:
                    time.sleep(len(data) / pace)
            answer["body"], self.buffer = self.buffer[:length], self.buffer[length:]
            answer["complete"] = True
        except OSError as error:
            answer["error"] = type(error).__name__
        return answer

    def close(self):
        self.socket.close()


def _fill(template, values):
    """Fills the placeholders of a settings template that has no sections."""
    def one(match):
        name, _, form = match.group(1).partition("|")
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)
    return re.sub(r"\{\{([^{}]+)\}\}", one, template)


class Sidecar:
    """A real sidecar, started with the command of the deploy file."""

    def __init__(self, deployment, name, endpoint_address, service, zone="zone-a",
                 region="region-a", grace_s=6):
        self.deployment = deployment
        self.name = name
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["sidecar"]
        self.values = {
            "node_id": name, "zone": zone, "region": region, "bootstrap": True,
            "ip": "127.0.0.1", "local_app": endpoint_address, "service": service,
            "heartbeat_ms": 1500, "provider": {"address": deployment.store.address},
            "bounds": {"grace_s": grace_s, "retry_budget_ratio": 0.2}}
        with open(os.path.join(ROOT, role["template"])) as file:
            self.template = file.read()
        self.settings = os.path.join(deployment.folder, name + ".ini")
        words = shlex.split(role["run"])
        self.command = [os.path.join(ROOT, words[0])] + [
            self.settings if word == "/etc/papayaway/node.toml" else word for word in words[1:]]
        self.process = None

    def start(self):
        """Starts the process, with other ports if another one took a port."""
        for _ in range(5):
            self._choose_ports()
            self._start()
            time.sleep(0.2)
            if self.process.poll() is None:
                return
        raise SystemError("%s does not start" % self.name)

    def _choose_ports(self):
        ports = {key: "127.0.0.1:%d" % free_port()
                 for key in ("outbound", "admin", "readiness", "inbound")}
        self.caller = ports["outbound"]
        self.admin = ports["admin"]
        self.readiness = ports["readiness"]
        self.values["bind"] = ports
        self.values["internal_ports"] = [free_port(), free_port()]

    def _start(self):
        with open(self.settings, "w") as file:
            file.write(_fill(self.template, self.values))
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(self.command, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log, cwd=ROOT)
        log.close()
        self.deployment.record("sidecar %s starts, process %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.deployment.record("sidecar %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def ready(self):
        return http_call(self.readiness, "GET", "/v1/ready") == 200

    def log_lines(self, event):
        lines = []
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "rb") as file:
            for line in file:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("event") == event:
                    lines.append(entry)
        return lines


class Deployment:
    """A store and the processes that a script started; ends them all."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.sidecars = []

    def add(self, *args, **kwargs):
        sidecar = Sidecar(self, *args, **kwargs)
        self.sidecars.append(sidecar)
        return sidecar

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for sidecar in self.sidecars:
                if sidecar.process.poll() is not None:
                    raise SystemError("%s has ended" % sidecar.name)
            if all(sidecar.ready() for sidecar in self.sidecars):
                self.record("all sidecars are ready")
                return
            time.sleep(0.1)
        raise SystemError("the sidecars were not ready in time")

    def end(self):
        for sidecar in self.sidecars:
            if sidecar.process and sidecar.process.poll() is None:
                sidecar.process.send_signal(signal.SIGCONT)
                sidecar.process.kill()
                sidecar.process.wait()
        if os.environ.get("KEEP"):
            print("logs in " + self.folder)
            return
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def run_case(case):
    """Runs case(record, deployment), which returns whether the rule held."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    deployment = Deployment(record)
    code = 2
    try:
        record("TROUBLE=%d" % TROUBLE)
        held = case(record, deployment)
        code = 0 if held else 1
        record("the rule %s" % ("held" if held else "was broken"))
    except Exception as error:  # The case could not run.
        record("could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        deployment.end()
    os._exit(code)
