"""A version that changes a time-out to 900s comes into force on few nodes."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import mesh as m  # noqa: E402

SERVICES = ["vitrine", "guichet"]
HOST = "hulo84.example"
WATCH_S = 12.0


# What the version changes on the route /annales/. Only `timeout` is the case;
# the others were tried for the report.
CHANGES = {
    "timeout": {"timeout": "900s"},
    "priority": {"priority": 101},
    "attempts": {"max_attempts": 11},
    "name": {"name": "annales/atelier"},
    "weights": {"service": [("vitrine", 0.9), ("guichet", 0.1)]},
}
CHANGE = os.environ.get("CHANGE", "timeout")


def version(number, moved_to, **changes):
    annales = {"name": "r-annales", "prefix": "/annales/",
               "service": "vitrine", "timeout": "2000ms", "target": "800ms"}
    annales.update(changes)
    return m.document(number, [
        m.route("r-lecture", "/lecture/", "vitrine"), m.route(**annales),
        m.route("r-stock", "/stock/", moved_to)], SERVICES)


def main():
    record = m.Record(HERE)
    record("with the disruption: %s" % m.trouble())
    mesh = m.Mesh(record, SERVICES)
    try:
        mesh.store_.publish(version(5, "vitrine"))
        mesh.start()
        instances = [m.Instance(node, "i-%s" % node.name_, record)
                     for node in mesh.nodes_]
        for instance in instances:
            instance.start_beats()
        if not mesh.wait_ready():
            record("the nodes did not become ready", True)
            return 2
        time.sleep(m.BOUND["contact"] + 1)
        # Before the change: /stock/ is run by vitrine on every node.
        for node in mesh.nodes_:
            _, status, _, _ = m.call(node, HOST, "/stock/a", record=record)
            if status != 200:
                record("no service before the change", True)
                return 2
        changes = CHANGES[CHANGE] if m.trouble() else {"timeout": "9s"}
        acknowledged = mesh.store_.publish(version(7, "guichet", **changes))
        record("r7 moves /stock/ to guichet and changes the route /annales/: "
               "%s" % changes, True)
        time.sleep(acknowledged + m.BOUND["config_apply"] + 0.2
                   - time.monotonic())
        late = 0
        served = 0
        old_nodes = set()
        end = acknowledged + WATCH_S
        by_id = {}
        while time.monotonic() < end:
            for node in mesh.nodes_:
                sent = time.monotonic() - acknowledged
                request_id, status, _, _ = m.call(
                    node, HOST, "/stock/b", record=record)
                by_id[request_id] = (node.name_, sent, status)
            time.sleep(0.5)
        for instance in instances:
            for run in list(instance.runs_):
                if run["id"] not in by_id:
                    continue
                served += 1
                if instance.node_.service_ == "vitrine":
                    name, sent, status = by_id[run["id"]]
                    late += 1
                    old_nodes.add(name)
                    record("OLD: %s, sent to %s %.1f s after the ack, was run "
                           "by vitrine (%s)" % (run["id"], name, sent, status))
        if mesh.ended():
            record("ended by themselves: %s" % mesh.ended(), True)
        record("sent %d, run %d, run by the old service %d, on nodes %s" % (
            len(by_id), served, late, sorted(old_nodes)), True)
        if served < len(by_id) / 2:
            return 2
        if os.environ.get("RESTART"):
            # For the report only: a node that starts again.
            node = next(node for node in mesh.nodes_
                        if not old_nodes or node.name_ in old_nodes)
            node.kill()
            node.start()
            started = time.monotonic()
            while not node.is_ready() and time.monotonic() - started < 30:
                time.sleep(0.2)
            record("%s, started again: ready %s after %.1f s" % (
                node.name_, node.is_ready(), time.monotonic() - started),
                True)
        return 1 if late > 0 else 0
    finally:
        mesh.stop()


m.play(main)
