"""A long answer that breaks off takes the pipelined requests with it."""

import collections
import os
import random
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../support-2"))
import mesh_case  # noqa: E402
from mesh_case import Instance, Mesh, TROUBLE, now  # noqa: E402

HOST = "catalogue.example"
PAGE_BYTES = 100_000
# One of the two instances of the catalogue breaks off this share of its
# answers, after most of the bytes.
BROKEN_SHARE = 0.02
SENT_BYTES = 80_000
LOAD_S = 20
CLIENTS = 6
BEHIND = 3
# The rule allows so many at a machine.
ALLOWED = 3


def make_page(breaks):
    generator = random.Random(8)

    def page(instance, call, request, body):
        time.sleep(0.03)
        call.send_response(200)
        call.send_header("X-Request-Id", request)
        call.send_header("X-Response-Signature", f"{instance.name}.{request}")
        call.send_header("Content-Length", str(PAGE_BYTES))
        call.end_headers()
        if breaks and generator.random() < BROKEN_SHARE:
            call.wfile.write(b"p" * SENT_BYTES)
            call.wfile.flush()
            instance.record.write(f"{instance.name} breaks off {request}")
            call.close_connection = True
            return
        call.wfile.write(b"p" * PAGE_BYTES)

    return page


def read_answer(file):
    """Returns the id of the next complete answer, or None."""
    line = file.readline()
    fields = {}
    while True:
        text = file.readline()
        if text in (b"\r\n", b""):
            break
        name, value = text.decode().split(":", 1)
        fields[name.lower()] = value.strip()
    size = int(fields.get("content-length", "0"))
    if not line.startswith(b"HTTP/1.1 200") or len(file.read(size)) < size:
        return None
    return fields.get("x-request-id")


class Client:
    """Keeps a connection, and sends requests before earlier ones are answered."""

    def __init__(self, record, node, index):
        self.record, self.node, self.index = record, node, index
        self.count = 0
        self.link = None
        self.unanswered = []

    def request(self, path):
        self.count += 1
        request = f"{self.index:04x}{self.count:012x}"
        return request, (
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
            "X-Deadline-Ms: 2000\r\n\r\n").encode()

    def exchange(self, paths):
        sent = [self.request(path) for path in paths]
        self.link.sendall(b"".join(data for _, data in sent))
        waiting = [request for request, _ in sent]
        try:
            while waiting:
                if read_answer(self.file) != waiting[0]:
                    break
                waiting.pop(0)
        except OSError:
            pass
        return waiting

    def run(self, until):
        while now() < until:
            self.link = socket.create_connection(self.node.outbound, timeout=3)
            self.file = self.link.makefile("rb")
            # The connection has served a request before the others are sent.
            lost = self.exchange(["/pages/1"])
            while not lost and now() < until:
                lost = self.exchange(["/pages/1"] + ["/stock/1"] * BEHIND)
            if lost:
                self.record.write(
                    f"client {self.index} at {self.node.name}: the connection"
                    f" ended without answers to {' '.join(lost)}")
            self.unanswered += lost
            self.file.close()
            self.link.close()


def case():
    mesh = Mesh(FOLDER)
    record = mesh.record
    try:
        pages = [mesh.add_node("zone-a", "pages"), mesh.add_node("zone-b", "pages")]
        stock = mesh.add_node("zone-a", "stock")
        front = mesh.add_node("zone-b", "front")
        mesh.publish(3, [
            mesh_case.route("pages", HOST, "/pages/", "idempotent", "pages"),
            mesh_case.route("stock", HOST, "/stock/", "idempotent", "stock"),
            mesh_case.service("pages"), mesh_case.service("stock"),
            mesh_case.service("front"), mesh_case.limits()])
        for node in mesh.nodes:
            node.start()
        mesh.wait_ready()
        for index, node in enumerate(pages):
            Instance(record, f"i-pages-{index}", "pages", node.zone, node.app,
                     node.control, run=make_page(TROUBLE and index == 1)
                     ).start_beats()
        sound = Instance(record, "i-stock", "stock", "zone-a", stock.app,
                         stock.control, work_s=0.01)
        sound.start_beats()
        time.sleep(5)
        clients = [Client(record, front, index) for index in range(CLIENTS)]
        threads = [threading.Thread(target=client.run, args=(now() + LOAD_S,))
                   for client in clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lost = collections.Counter(
            client.node.name for client in clients
            for request in client.unanswered if sound.runs[request])
        total = sum(client.count for client in clients)
        if total < 1000:
            raise mesh_case.CannotRun("too few requests were sent")
        most = max(lost.values(), default=0)
        summary = (
            f"{most} of {total} requests were passed on to the sound instance"
            " i-stock and their connection closed without an answer")
        record.write(summary)
        print(summary)
        return most > ALLOWED
    finally:
        mesh.close()


mesh_case.main(case)
