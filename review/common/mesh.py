"""Stand-ins for the users' platform, instances and clients, on loopback.

Used by the scripts of the review. Standard library only. Everything listens on
addresses of 127.0.0.0/8 and ends with the process.
"""

import base64
import json
import os
import random
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

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

ZONES = [("salle-belair", "quebec-centre"), ("salle-levis", "rive-sud"),
         ("salle-bourg", "quebec-centre"), ("salle-romuald", "rive-sud")]

# Bounds of the site regie-valbelair, in seconds.
BOUND = {"contact": 3.0, "drain": 2.5, "config_apply": 2.5, "grace": 6.0,
         "ack": 4.0}


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        end_on_sigterm()
        self.start_ = time.monotonic()
        self.lock_ = threading.Lock()
        self.file_ = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start_

    def __call__(self, text, show=False):
        with self.lock_:
            self.file_.write("%8.3f %s\n" % (self.now(), text))
            self.file_.flush()
        if show:
            print("%8.3f %s" % (self.now(), text), flush=True)


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock_ = sock
        self.data_ = b""

    def fill(self):
        more = self.sock_.recv(65536)
        if not more:
            raise EOFError("closed")
        self.data_ += more

    def head(self):
        while b"\r\n\r\n" not in self.data_:
            self.fill()
        text, self.data_ = self.data_.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def take(self, count):
        while len(self.data_) < count:
            self.fill()
        taken, self.data_ = self.data_[:count], self.data_[count:]
        return taken

    def line(self):
        while b"\r\n" not in self.data_:
            self.fill()
        text, self.data_ = self.data_.split(b"\r\n", 1)
        return text

    def body(self, fields, is_answer=False):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return body
                body += self.take(size)
                self.take(2)
        if "content-length" in fields:
            return self.take(int(fields["content-length"]))
        if is_answer:
            body = b""
            try:
                while True:
                    self.fill()
            except EOFError:
                body, self.data_ = self.data_, b""
            return body
        return b""

    def answer(self):
        """Returns the status, the fields and the body of the next answer."""
        while True:
            first, fields = self.head()
            status = int(first.split(" ")[1])
            if status >= 200:
                break
        if status in (204, 304):
            return status, fields, b""
        return status, fields, self.body(fields, True)


def serve(address, handle):
    """Starts a listener; `handle(sock)` runs in a thread per connection."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(512)

    def run(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(sock)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            sock.close()

    def loop():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=run, args=(sock,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()
    return listener


def http_answer(status, body, fields=None):
    text = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    for name, value in (fields or {}).items():
        text += "%s: %s\r\n" % (name, value)
    return text.encode() + b"\r\n" + body


class Store:
    """The platform's store: rows, transactions and the feed."""

    def __init__(self, address, record):
        self.record_ = record
        self.changed_ = threading.Condition()
        self.version_ = 1
        self.rows_ = {}
        self.start_ = time.monotonic()
        serve(address, self.handle_)

    def publish(self, document):
        """The operator writes a configuration; returns the time of the ack."""
        text = json.dumps(document, separators=(",", ":"))
        with self.changed_:
            self.version_ += 1
            self.rows_[("op", "", "config")] = (
                base64.b64encode(text.encode()).decode(), self.version_)
            self.changed_.notify_all()
        self.record_("operator: op/config %s acknowledged: %s"
                     % (document["version"], text), False)
        return time.monotonic()

    def handle_(self, sock):
        reader = Reader(sock)
        while True:
            first, fields = reader.head()
            method, target = first.split(" ")[:2]
            body = reader.body(fields)
            time.sleep(0.004)
            path, _, query = target.partition("?")
            query = dict(urllib.parse.parse_qsl(query, True))
            status, answer = self.call_(method, path, query, body)
            sock.sendall(http_answer(
                status, json.dumps(answer).encode(),
                {"Content-Type": "application/json"}))

    def now_(self):
        return "%dms" % int((time.monotonic() - self.start_) * 1000)

    def shown_(self, name, row):
        shown = {"table": name[0], "part": name[1], "key": name[2],
                 "ver": row[1]}
        if row[0] is None:
            shown["deleted"] = True
        else:
            shown["value"] = row[0]
        return shown

    def call_(self, method, path, query, body):
        if path == "/api/rows-get":
            limit = min(500, int(query.get("limit", 500)))
            with self.changed_:
                found = [
                    self.shown_(name, row)
                    for name, row in sorted(self.rows_.items())
                    if name[0] == query.get("table") and
                    name[1] == query.get("part", "") and
                    name[2] >= query.get("from", "") and
                    ("to" not in query or name[2] < query["to"]) and
                    row[0] is not None]
                return 200, {"rows": found[:limit],
                             "has_more": len(found) > limit,
                             "ver": self.version_, "now": self.now_()}
        if path == "/api/rows-feed":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            with self.changed_:
                while True:
                    found = sorted(
                        (self.shown_(name, row)
                         for name, row in self.rows_.items()
                         if name[0] == query["table"] and row[1] > after),
                        key=lambda row: row["ver"])
                    left = end - time.monotonic()
                    if found or left <= 0:
                        return 200, {"rows": found, "ver": self.version_,
                                     "now": self.now_()}
                    self.changed_.wait(left)
        if path == "/api/rows-tx" and method == "POST":
            call = json.loads(body)

            def name(item):
                return item["table"], item.get("part", ""), item["key"]

            with self.changed_:
                for item in call.get("expected_rev", []):
                    row = self.rows_.get(name(item), (None, 0))
                    held = row[1] if row[0] is not None else 0
                    if held != item["ver"]:
                        return 412, {"rows": [], "ver": self.version_,
                                     "now": self.now_()}
                for item in call.get("writes", []) + call.get("remove", []):
                    if item["table"] in ("op", "servers"):
                        return 403, {"error": "not yours"}
                self.version_ += 1
                for item in call.get("writes", []):
                    self.rows_[name(item)] = (item["value"], self.version_)
                for item in call.get("remove", []):
                    self.rows_[name(item)] = (None, self.version_)
                self.changed_.notify_all()
                return 200, {"ver": self.version_, "now": self.now_()}
        if path == "/api/rows-parts":
            return 200, {"parts": [""], "ver": self.version_,
                         "now": self.now_()}
        return 404, {"error": "absent"}


class Instance:
    """An application instance beside a node.

    `answer_with(request)` may return (bytes to send, whether to close); by
    default the instance sends a small signed answer.
    """

    def __init__(self, node, instance_id, record, slots=18):
        self.node_ = node
        self.id_ = instance_id
        self.record_ = record
        self.slots_ = slots
        self.born_ = int(time.time() * 1000)
        self.sequence_ = 0
        self.state_ = "ready"
        self.beats_ = False
        self.runs_ = []
        self.lock_ = threading.Lock()
        self.answer_with_ = None
        self.work_s_ = 0.01
        self.serving_ = True
        self.sockets_ = set()
        self.listener_ = serve(node.app_, self.handle_)

    def beat_body(self, **changes):
        with self.lock_:
            self.sequence_ += 1
            body = {"service": self.node_.service_,
                    "address": "%s:%d" % self.node_.app_,
                    "zone": self.node_.zone_, "version": "v1",
                    "slot_count": self.slots_, "state": self.state_,
                    "cold_remaining": "0ms", "sequence": self.sequence_,
                    "born": self.born_}
        body.update(changes)
        return {key: value for key, value in body.items()
                if value is not None}

    def say(self, path, body, note=""):
        """Sends a call to the control address; returns the status or None."""
        text = b"" if body is None else json.dumps(body).encode()
        status = None
        try:
            sock = socket.create_connection(self.node_.instances_, 1.0)
            sock.settimeout(1.0)
            sock.sendall((
                "POST %s HTTP/1.1\r\nHost: control\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                "Content-Length: %d\r\n\r\n" % (path, len(text))).encode()
                + text)
            status = Reader(sock).answer()[0]
            sock.close()
        except (OSError, EOFError):
            pass
        self.record_("%s -> %s: POST %s %s %s-> %s" % (
            self.id_, self.node_.name_, path, text.decode(), note, status))
        return status

    def beat(self, **changes):
        return self.say("/api/Instances.Heartbeat/" + self.id_,
                        self.beat_body(**changes))

    def deregister(self):
        return self.say("/api/Instances.Deregister/" + self.id_, None)

    def start_beats(self, interval=1.5):
        self.beats_ = True

        def loop():
            while self.beats_:
                status = self.beat()
                time.sleep(interval if status == 200 else 0.3)

        threading.Thread(target=loop, daemon=True).start()

    def stop_beats(self):
        self.beats_ = False

    def exit(self):
        """The instance's process ends; its port refuses connections."""
        self.serving_ = False
        try:
            self.listener_.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener_.close()
        with self.lock_:
            held = list(self.sockets_)
        for sock in held:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record_("%s: exits" % self.id_)

    def handle_(self, sock):
        if not self.serving_:
            return
        with self.lock_:
            self.sockets_.add(sock)
        try:
            self.serve_(sock)
        finally:
            with self.lock_:
                self.sockets_.discard(sock)

    def serve_(self, sock):
        reader = Reader(sock)
        while self.serving_:
            first, fields = reader.head()
            method, target = first.split(" ")[:2]
            body = reader.body(fields)
            request_id = fields.get("x-request-id", "")
            wanted = fields.get("x-target-instance")
            if wanted is not None and wanted != self.id_:
                self.record_("%s: %s is for %s, 421" % (
                    self.id_, request_id, wanted))
                sock.sendall(http_answer(
                    421, b"", {"X-Request-Id": request_id,
                               "X-Instance-Id": self.id_}))
                continue
            request = {"id": request_id, "method": method, "target": target,
                       "body": body, "fields": fields,
                       "at": time.monotonic()}
            with self.lock_:
                self.runs_.append(request)
            self.record_("%s (%s): runs %s %s %s" % (
                self.id_, self.node_.service_, request_id, method, target))
            time.sleep(self.work_s_)
            answer = self.answer_with_(request) if self.answer_with_ else None
            if answer is None:
                text = ("%s ran %s" % (self.id_, request_id)).encode()
                answer = (signed_answer(request_id, text), False)
            data, close = answer
            sock.sendall(data)
            if close:
                return


def signed_answer(request_id, body, status=200):
    return http_answer(status, body, {
        "X-Request-Id": request_id, "X-Response-Signature": "5a2.%d" %
        len(body)})


class Node:
    """One `hemlockshelfd` and the addresses of its machine."""

    def __init__(self, mesh, name, zone, region, service, address):
        self.mesh_ = mesh
        self.name_ = name
        self.zone_ = zone
        self.region_ = region
        self.service_ = service
        self.ip_ = address
        port = mesh.port_
        self.gate_ = (address, port)
        self.app_ = (address, port + 1)
        self.ready_ = (address, port + 2)
        self.calls_ = (address, port + 4)
        self.instances_ = (address, port + 6)
        self.ports_ = [port + 10, port + 25]
        self.process_ = None
        self.runs_ = 0

    def addresses(self):
        return [self.gate_, self.app_, self.ready_, self.calls_,
                self.instances_] + [(self.ip_, port) for port in self.ports_]

    def start(self):
        path = os.path.join(self.mesh_.folder_, self.name_ + ".yaml")
        with open(path, "w") as file:
            file.write(self.settings_())
        self.runs_ += 1
        log = open(os.path.join(
            self.mesh_.folder_, "%s.%d.log" % (self.name_, self.runs_)), "w")
        self.process_ = subprocess.Popen(
            [os.path.join(ROOT, "target/bin/hemlockshelfd"), "--settings",
             path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT)
        self.mesh_.record_("%s: started, pid %d" % (
            self.name_, self.process_.pid))

    def kill(self, how=signal.SIGKILL):
        self.process_.send_signal(how)
        if how == signal.SIGKILL:
            self.process_.wait()
        self.mesh_.record_("%s: signal %d" % (self.name_, how))

    def settings_(self):
        """Fills in deploy/node.yaml as the platform does."""
        with open(os.path.join(ROOT, "deploy/node.yaml")) as file:
            text = file.read()
        values = {
            "{{node}}": self.name_, "{{zone}}": self.zone_,
            "{{region}}": self.region_, "{{service}}": self.service_,
            "{{ip}}": self.ip_,
            "{{listen.outbound}}": "%s:%d" % self.calls_,
            "{{listen.inbound}}": "%s:%d" % self.gate_,
            "{{listen.readiness}}": "%s:%d" % self.ready_,
            "{{listen.control}}": "%s:%d" % self.instances_,
            "{{port_range.0}}": str(self.ports_[0]),
            "{{port_range.1}}": str(self.ports_[1]),
            "{{provider.address}}": "%s:%d" % self.mesh_.store_address_,
            "{{#limits.link_mbps}}link_mbps: {{.}}{{/limits.link_mbps}}":
                "link_mbps: 1000.0",
            "{{#bounds.grace}}  stop_grace: {{.}}{{/bounds.grace}}":
                "  stop_grace: 6s"}
        for name, value in values.items():
            text = text.replace(name, value)
        if "{{" in text:
            raise RuntimeError("a placeholder of deploy/node.yaml is unknown")
        return text

    def is_ready(self):
        try:
            sock = socket.create_connection(self.ready_, 1.0)
            sock.settimeout(1.0)
            sock.sendall(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n"
                         b"Connection: close\r\n\r\n")
            status = Reader(sock).answer()[0]
            sock.close()
            return status == 200
        except (OSError, EOFError):
            return False


class Mesh:
    """A small deployment: a store and one node for each (zone, service)."""

    def __init__(self, record, services, zones=4):
        self.record_ = record
        self.folder_ = tempfile.mkdtemp(prefix="review-")
        self.nodes_ = []
        places = [(zone, service) for zone in range(zones)
                  for service in services]
        for _ in range(100):
            block = random.randint(2, 250)
            self.port_ = random.randint(9000, 30000)
            self.store_address_ = ("127.%d.250.1" % block, self.port_ + 30)
            self.nodes_ = [
                Node(self, "sidecar-%s-%d" % (ZONES[zone][0], index + 1),
                     ZONES[zone][0], ZONES[zone][1], service,
                     "127.%d.%d.%d" % (block, zone + 1, index + 1))
                for index, (zone, service) in enumerate(places)]
            if self.is_free_():
                break
        self.store_ = Store(self.store_address_, record)

    def is_free_(self):
        addresses = [self.store_address_]
        for node in self.nodes_:
            addresses += node.addresses()
        for address in addresses:
            try:
                with socket.socket() as sock:
                    sock.bind(address)
            except OSError:
                return False
        return True

    def start(self):
        for node in self.nodes_:
            node.start()

    def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(node.is_ready() for node in self.nodes_):
                return True
            time.sleep(0.1)
        return False

    def ended(self):
        """Nodes that ended by themselves."""
        return [node.name_ for node in self.nodes_
                if node.process_ and node.process_.poll() is not None]

    def stop(self):
        for node in self.nodes_:
            if node.process_ and node.process_.poll() is None:
                node.process_.kill()
                node.process_.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder_)
        else:
            shutil.rmtree(self.folder_, ignore_errors=True)


def new_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(host, path, request_id, method="GET", deadline_ms=800,
                  body=None, fields=None):
    text = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n" % (
        method, path, host, request_id)
    text += "X-Deadline-Ms: %d\r\n" % deadline_ms
    for name, value in (fields or {}).items():
        text += "%s: %s\r\n" % (name, value)
    if body is not None:
        text += "Content-Length: %d\r\n" % len(body)
    return text.encode() + b"\r\n" + (body or b"")


def call(node, host, path, method="GET", deadline_ms=800, body=None,
         record=None):
    """One client attempt on a new connection.

    Returns the id, the status (None if the connection ended without a whole
    answer), the fields and the body.
    """
    request_id = new_id()
    status, fields, answer = None, {}, b""
    try:
        with socket.create_connection(node.calls_, 1.0) as sock:
            sock.settimeout(deadline_ms / 1000 + 1)
            sock.sendall(request_bytes(
                host, path, request_id, method, deadline_ms, body,
                {"Connection": "close"}))
            status, fields, answer = Reader(sock).answer()
    except (OSError, EOFError, ValueError):
        pass
    if record:
        record("client -> %s: %s %s %s -> %s %r" % (
            node.name_, request_id, method, path, status, answer[:60]))
    return request_id, status, fields, answer


def route(name, prefix, service, host="hulo84.example", kind="idempotent",
          timeout="800ms", target="300ms", priority=2, max_attempts=2):
    spec = {"host": host, "prefix": prefix, "kind": kind, "timeout": timeout,
            "target_latency": target, "priority": priority,
            "max_attempts": max_attempts}
    if isinstance(service, str):
        spec["service"] = service
    else:
        spec["weighted_clusters"] = [
            {"service": name, "weight": weight} for name, weight in service]
    return {"resource_type": "routes", "metadata": {"name": name},
            "spec": spec}


def document(number, routes, services):
    resources = list(routes)
    for service in services:
        resources.append({
            "resource_type": "services", "metadata": {"name": service},
            "spec": {"health_path": "/health", "max_connections": 110,
                     "protocol": "h1", "tls": False}})
    resources.append({
        "resource_type": "limits", "metadata": {},
        "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                 "header_timeout": "3000ms", "idle_timeout": "15000ms"}})
    return {"version": "r%d" % number, "base_version": "r%d" % max(0,
            number - 2), "resources": resources}


def end_on_sigterm():
    def end(*_):
        # `timeout` signals the group too; the second signal must not stop the
        # cleaning up.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)


def trouble():
    """Whether the case is played with its disruption; run.sh says so."""
    return sys.argv[1:] != ["without"]


def play(main):
    """Ends the process with the result of a case; 2 if it could not run."""
    try:
        result = main()
    except Exception:
        traceback.print_exc()
        result = 2
    sys.exit(result)
