"""Stand-ins and helpers of the review cases 6 to 10.

Starts the project's own daemon with the command and the settings template of
the deploy file, beside small stand-ins of the platform's store, of instances
and of clients. Uses the standard library of Python only. Every address is a
loopback address.
"""

import base64
import collections
import http.client
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
import threading
import time
import traceback
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """The file record.txt of a case: one line for each event."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        with self.lock:
            at = time.monotonic() - STARTED
            self.file.write(f"{at:9.3f} {text}\n")
            self.file.flush()


def now():
    return time.monotonic() - STARTED


# --- HTTP servers ---------------------------------------------------------


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


def serve(address, handler):
    server = QuietServer(address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def answer(self, status, value, headers=()):
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, text in headers:
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(data)


class Store:
    """The platform's store: rows with versions, and a feed of changes."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
        store = self

        class Handler(JsonHandler):
            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.post(self, json.loads(self.body()))

        self.server = serve(address, Handler)

    def write(self, table, key, value):
        with self.lock:
            self.version += 1
            self.rows[(table, "", key)] = (value, self.version, False)
            self.lock.notify_all()

    def row_json(self, name, row):
        value, version, deleted = row
        item = {"table": name[0], "part": name[1], "key": name[2],
                "ver": version}
        if deleted:
            item["deleted"] = True
        else:
            item["value"] = base64.b64encode(value).decode()
        return item

    def heading(self):
        return {"ver": self.version, "now": int(time.monotonic() * 1000)}

    def get(self, call):
        url = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        if url.path == "/api/rows-get":
            with self.lock:
                found = sorted(
                    (name, row) for name, row in self.rows.items()
                    if name[0] == query["table"]
                    and name[1] == query.get("part", "") and not row[2]
                    and name[2].encode() >= query.get("from", "").encode()
                    and ("to" not in query
                         or name[2].encode() < query["to"].encode()))
                limit = min(int(query.get("limit", "500")), 500)
                answer = self.heading()
                answer["rows"] = [self.row_json(*r) for r in found[:limit]]
                answer["has_more"] = len(found) > limit
            call.answer(200, answer)
        elif url.path == "/api/rows-feed":
            after = int(query.get("after", "0"))
            until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
            with self.lock:
                while True:
                    found = sorted(
                        ((name, row) for name, row in self.rows.items()
                         if name[0] == query["table"] and row[1] > after),
                        key=lambda item: item[1][1])
                    left = until - time.monotonic()
                    if found or left <= 0:
                        break
                    self.lock.wait(left)
                answer = self.heading()
                answer["rows"] = [self.row_json(*r) for r in found[:500]]
            call.answer(200, answer)
        else:
            call.answer(404, {})

    def post(self, call, request):
        if urllib.parse.urlsplit(call.path).path != "/api/rows-tx":
            call.answer(404, {})
            return

        def name_of(item):
            return (item["table"], item.get("part", ""), item["key"])

        with self.lock:
            def current(item):
                row = self.rows.get(name_of(item))
                return 0 if row is None or row[2] else row[1]

            checks = request.get("expected_rev", [])
            if any(current(item) != item["ver"] for item in checks):
                answer = self.heading()
                answer["rows"] = [
                    self.row_json(name_of(item), self.rows[name_of(item)])
                    for item in checks if current(item)]
                status = 412
            else:
                self.version += 1
                for item in request.get("writes", []):
                    self.rows[name_of(item)] = (
                        base64.b64decode(item["value"]), self.version, False)
                for item in request.get("remove", []):
                    self.rows[name_of(item)] = (b"", self.version, True)
                self.lock.notify_all()
                answer = self.heading()
                status = 200
        call.answer(status, answer)


class Instance:
    """An application instance with its check-ins.

    `run` gets the handler and the body, and answers the request. By default a
    request takes `work_s` and its body is echoed.
    """

    def __init__(self, record, name, service, zone, address, control,
                 work_s=0.02, slots=18, beat_s=1.5, first_sequence=1,
                 run=None):
        self.record, self.name, self.service = record, name, service
        self.zone, self.address, self.control = zone, address, control
        self.work_s, self.slots, self.beat_s = work_s, slots, beat_s
        self.sequence = first_sequence - 1
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.alive = True
        self.runs = collections.Counter()
        self.lock = threading.Lock()
        instance = self

        class Handler(JsonHandler):
            def do_any(self):
                instance.handle(self)

            do_GET = do_POST = do_PUT = do_DELETE = do_any

            def body(self):
                if "chunked" not in self.headers.get("Transfer-Encoding", ""):
                    return super().body()
                data = b""
                while True:
                    size = int(self.rfile.readline().split(b";")[0], 16)
                    data += self.rfile.read(size)
                    self.rfile.readline()
                    if size == 0:
                        return data

            def setup(self):
                super().setup()
                instance.connections.add(self.connection)

            def finish(self):
                instance.connections.discard(self.connection)
                super().finish()

        self.connections = set()
        self.run = run or Instance.echo
        self.server = serve(address, Handler)

    def handle(self, call):
        body = call.body()
        request = call.headers.get("X-Request-Id", "")
        if call.path == "/health":
            call.answer(200 if self.state == "ready" else 503, {},
                        [("X-Instance-Id", self.name)])
            return
        target = call.headers.get("X-Target-Instance", self.name)
        if target != self.name:
            self.record.write(f"{self.name} 421 {request} for {target}")
            call.answer(421, {}, [("X-Request-Id", request)])
            return
        with self.lock:
            self.runs[request] += 1
        self.record.write(
            f"{self.name} runs {request} {call.command} {call.path}")
        self.run(self, call, request, body)

    def echo(self, call, request, body):
        time.sleep(self.work_s)
        self.reply(call, 200, request, body or b"done")

    def reply(self, call, status, request, body, headers=()):
        call.send_response(status)
        call.send_header("X-Request-Id", request)
        call.send_header("X-Response-Signature", f"{self.name}.{request}")
        call.send_header("Content-Length", str(len(body)))
        for name, text in headers:
            call.send_header(name, text)
        call.end_headers()
        call.wfile.write(body)

    def beat(self, state=None):
        """Returns the path and the body of the next check-in."""
        with self.lock:
            self.sequence += 1
            sequence = self.sequence
        return (f"/api/Instances.Heartbeat/{self.name}", json.dumps({
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slot_count": self.slots,
            "state": state or self.state, "cold_remaining": "0ms",
            "sequence": sequence, "born": self.born}))

    def send(self, path, body=""):
        """Sends one check-in. Returns whether it was acknowledged."""
        try:
            link = http.client.HTTPConnection(*self.control, timeout=1)
            link.request("POST", path, body,
                         {"Content-Type": "application/json"})
            answer = link.getresponse()
            answer.read()
            link.close()
            acknowledged = 200 <= answer.status < 300
        except OSError:
            acknowledged = False
        shown = json.loads(body) if body else {}
        self.record.write(
            f"{self.name} check-in {path.split('.')[1]}"
            f" state={shown.get('state', '-')}"
            f" sequence={shown.get('sequence', '-')}"
            f" acknowledged={acknowledged}")
        return acknowledged

    def start_beats(self):
        def loop():
            while self.alive:
                self.send(*self.beat())
                wake = time.monotonic() + self.beat_s
                while self.alive and time.monotonic() < wake:
                    time.sleep(0.02)

        threading.Thread(target=loop, daemon=True).start()

    def end(self):
        """Ends the instance with its connections, as its process would."""
        self.alive = False
        self.record.write(f"{self.name} exits")
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# --- the nodes ------------------------------------------------------------


def lookup(scopes, path):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills in the placeholders and sections of a settings template."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(match):
        value = lookup(scopes, match.group(1))
        if value is None or value is False:
            return ""
        return render(match.group(2), scopes + [value])

    def fill(match):
        name, as_json = match.group(1), match.group(2)
        value = lookup(scopes, name)
        if as_json:
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", fill,
                  section.sub(expand, text))


class Node:
    """A process of the daemon on its own loopback address."""

    def __init__(self, mesh, index, zone, service):
        self.mesh, self.index = mesh, index
        self.name = f"sidecar-{index}"
        self.zone, self.service = zone, service
        self.ip = f"{mesh.prefix}.{1 + index}"
        self.app = (self.ip, 8301)
        self.outbound = (self.ip, 8304)
        self.control = (self.ip, 8306)
        self.readiness = (self.ip, 8302)
        self.process = None
        self.starts = 0
        fields = {
            "node": self.name, "zone": zone, "region": mesh.zones[zone],
            "ip": self.ip, "service": service,
            "limits": {"link_mbps": 1000.0, "memory_mb": 260},
            "listen": {
                "inbound": f"{self.ip}:8300",
                "outbound": f"{self.ip}:8304",
                "readiness": f"{self.ip}:8302",
                "control": f"{self.ip}:8306"},
            "port_range": {"0": 7620, "1": 7621},
            "provider": {"address": mesh.store_address},
            "zones": mesh.zones, "bounds": mesh.bounds}
        with open(os.path.join(ROOT, "deploy/node.yaml")) as template:
            text = render(template.read(), [fields])
        self.settings = os.path.join(mesh.folder, f"{self.name}.conf")
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        self.starts += 1
        log = open(os.path.join(
            self.mesh.folder, f"{self.name}.{self.starts}.log"), "w")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/bin/hemlockshelfd"),
             "--settings", self.settings],
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.mesh.record.write(f"{self.name} started")

    def signal(self, number):
        self.mesh.record.write(
            f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def ready(self):
        try:
            link = http.client.HTTPConnection(*self.readiness, timeout=1)
            link.request("GET", "/api/ready")
            status = link.getresponse().status
            link.close()
            return status == 200
        except OSError:
            return False


class Mesh:
    """The store and the nodes of a case, in a free block of addresses."""

    def __init__(self, folder, zones=None, bounds=None):
        self.record = Record(folder)
        if not os.path.exists(os.path.join(ROOT, "target/bin/hemlockshelfd")):
            raise CannotRun("target/bin/hemlockshelfd is not built")
        self.folder = tempfile.mkdtemp(prefix="hemlockshelf-review-")
        self.zones = zones or {
            "zone-a": "region-1", "zone-b": "region-1"}
        self.bounds = bounds or {"grace": "6s"}
        self.nodes = []
        self.claim_block()
        self.store_address = f"{self.prefix}.250:8309"
        self.store = Store((f"{self.prefix}.250", 8309))

    def claim_block(self):
        """Holds a free block of addresses by a listening socket."""
        for _ in range(100):
            prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            self.claim = socket.socket()
            try:
                self.claim.bind((f"{prefix}.255", 6999))
                self.claim.listen()
                self.prefix = prefix
                return
            except OSError:
                self.claim.close()
        raise CannotRun("no free block of loopback addresses")

    def add_node(self, zone, service):
        node = Node(self, len(self.nodes), zone, service)
        self.nodes.append(node)
        return node

    def publish(self, version, resources):
        value = json.dumps({"version": f"r{version}", "resources": resources})
        self.store.write("op", "config", value.encode())
        self.record.write(f"operator: configuration r{version} acknowledged")

    def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all(node.ready() for node in self.nodes):
                return
            time.sleep(0.05)
        raise CannotRun("the nodes did not become ready")

    def close(self, keep=False):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if keep or os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, timeout="2s", **extra):
    return {"resource_type": "routes", "metadata": {"name": name},
            "spec": {"host": host, "prefix": prefix, "kind": kind,
                     "timeout": timeout, "target_latency": "500ms",
                     "priority": 1, "max_attempts": 2, "service": service,
                     **extra}}


def service(name):
    return {"resource_type": "services", "metadata": {"name": name},
            "spec": {"health_path": "/health", "max_connections": 110,
                     "protocol": "h1", "tls": False}}


def limits():
    return {"resource_type": "limits", "metadata": {},
            "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                     "header_timeout": "3000ms", "idle_timeout": "15000ms"}}


# --- clients --------------------------------------------------------------

Answer = collections.namedtuple("Answer", "status headers body sent at")


def call(record, node, host, path, method="GET", body=b"", deadline_ms=2000,
         request=None, timeout=None):
    """Sends a request on a new connection; status 0 is a lost answer."""
    request = request or f"{random.getrandbits(64):016x}"
    sent = now()
    record.write(f"client at {node.name} sends {request} {method} {path}")
    try:
        link = http.client.HTTPConnection(
            *node.outbound, timeout=timeout or deadline_ms / 1000 + 1)
        link.request(method, path, body or None, {
            "Host": host, "X-Request-Id": request,
            "X-Deadline-Ms": str(deadline_ms)})
        got = link.getresponse()
        answer = Answer(got.status, got.headers, got.read(), sent, now())
        link.close()
    except (OSError, http.client.HTTPException):
        answer = Answer(0, {}, b"", sent, now())
    signed = " signed" if answer.headers and \
        answer.headers.get("X-Response-Signature") else ""
    record.write(
        f"client at {node.name} got {answer.status or 'no answer'}"
        f" for {request}{signed}")
    return request, answer


def load(record, nodes, host, path, until, clients=4, deadline_ms=800):
    """Sends orders one after the other from several clients.

    Returns the answers by request.
    """
    answers = {}

    def run(index):
        while now() < until:
            node = nodes[index % len(nodes)]
            request, answer = call(record, node, host, path, "POST", b"order",
                                   deadline_ms)
            answers[request] = answer
            if answer.status != 200:
                time.sleep(0.1)

    threads = [threading.Thread(target=run, args=(index,), daemon=True)
               for index in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def later(delay_s, function):
    """Calls the function after a delay, unless the script ends before."""
    timer = threading.Timer(delay_s, function)
    timer.daemon = True
    timer.start()


def end_on_sigterm(*_):
    # `timeout` may send the signal twice; the second one must not interrupt
    # the end of the nodes.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


def main(case):
    """Runs a case and exits with its result: 1 broken, 0 held, 2 not run."""
    signal.signal(signal.SIGTERM, end_on_sigterm)
    try:
        broken = case()
    except Exception:  # A failure of the script says nothing about the rule.
        traceback.print_exc()
        sys.exit(2)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
