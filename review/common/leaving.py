"""What the two cases of an instance that leaves have in common."""

import threading
import time

import mesh as m

SERVICES = ["vitrine", "guichet"]
HOST = "hulo84.example"


def start(record):
    """Starts eight nodes with their instances.

    Returns the mesh, or None if the nodes did not get ready, and what is to be
    stopped at the end.
    """
    mesh = m.Mesh(record, SERVICES)
    try:
        return (mesh if start_all(mesh, record) else None), mesh
    except BaseException:
        mesh.stop()
        raise


def start_all(mesh, record):
    mesh.store_.publish(m.document(5, [
        m.route("r-lecture", "/lecture/", "vitrine"),
        m.route("r-ordre", "/ordre/", "guichet", kind="non_idempotent",
                priority=1)], SERVICES))
    mesh.start()
    mesh.instances_ = [m.Instance(node, "i-%s" % node.name_, record)
                       for node in mesh.nodes_]
    for instance in mesh.instances_:
        instance.work_s_ = 0.15
        instance.start_beats()
    if not mesh.wait_ready():
        record("the nodes did not become ready", True)
        return False
    time.sleep(m.BOUND["contact"] + 2)
    return True


class Traffic:
    """Orders to `/ordre/`, taken by every node but one, until stopped."""

    def __init__(self, mesh, but, record, per_second=60):
        self.record_ = record
        self.nodes_ = [node for node in mesh.nodes_ if node is not but]
        self.answers_ = {}
        self.running_ = True
        self.pause_ = 1.0 / per_second
        self.threads_ = []
        self.thread_ = threading.Thread(target=self.loop_, daemon=True)
        self.thread_.start()

    def loop_(self):
        count = 0
        while self.running_:
            node = self.nodes_[count % len(self.nodes_)]
            count += 1
            thread = threading.Thread(target=self.one_, args=(node,))
            thread.start()
            self.threads_.append(thread)
            time.sleep(self.pause_)

    def one_(self, node):
        sent = time.monotonic()
        request_id, status, _, _ = m.call(
            node, HOST, "/ordre/a", "POST", 800, b"one lampshade",
            self.record_)
        self.answers_[request_id] = (sent, node.name_, status)

    def stop(self):
        self.running_ = False
        self.thread_.join()
        for thread in self.threads_:
            thread.join()


def judge(record, traffic, instance, ack, in_touch_since, slack=0.2):
    """Counts requests that reached the instance later than allowed."""
    earliest = max(ack + m.BOUND["drain"], in_touch_since) + slack
    late = [run for run in list(instance.runs_)
            if run["id"] in traffic.answers_ and run["at"] > earliest]
    for run in late:
        sent, name, status = traffic.answers_[run["id"]]
        record("DRAIN: %s, taken by %s, reached %s %.2f s after the ack; the "
               "client got %s" % (run["id"], name, instance.id_,
                                  run["at"] - ack, status))
    first = min([run["at"] - ack for run in late], default=0)
    last = max([run["at"] - ack for run in late], default=0)
    cut = [run for run in late if traffic.answers_[run["id"]][2] != 200]
    record("orders sent %d, answered with 200: %d; reached the instance that "
           "had left, beyond the bound: %d (%.2f to %.2f s after the ack), of "
           "these lost when it ended: %d" % (
               len(traffic.answers_),
               sum(1 for _, _, status in traffic.answers_.values()
                   if status == 200), len(late), first, last, len(cut)), True)
    return late
