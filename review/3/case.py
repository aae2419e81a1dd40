"""A node that was restarted forgets that its instance has left."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

import leaving  # noqa: E402
import mesh as m  # noqa: E402

# How late the check-in arrives, and how long the instance serves on.
LATE_S = 2.0
SERVES_ON_S = 6.0
RESTART_S = 0.5


def main():
    record = m.Record(HERE)
    record("with the disruption: %s" % m.trouble())
    mesh, started = leaving.start(record)
    try:
        if mesh is None:
            return 2
        instance = next(found for found in mesh.instances_
                        if found.node_.service_ == "guichet")
        node = instance.node_
        # The instance's last check-in before it leaves; the next would be due
        # 1.5 s later.
        instance.stop_beats()
        time.sleep(1.6)
        instance.beat()
        traffic = leaving.Traffic(mesh, node, record)
        time.sleep(0.2)
        started_at = time.monotonic()
        if m.trouble():
            node.kill()
            time.sleep(RESTART_S)
            node.start()
            started_at = time.monotonic()
            while not node.is_ready():
                if time.monotonic() - started_at > 10:
                    return 2
                time.sleep(0.02)
        else:
            time.sleep(1.0)
        # A check-in leaves the instance and is held up on its way.
        body = instance.beat_body()
        record("%s: a check-in leaves, it will be %.1f s late" % (
            instance.id_, LATE_S))

        def arrive_late():
            time.sleep(LATE_S)
            instance.say("/api/Instances.Heartbeat/" + instance.id_, body,
                         "(late) ")

        threading.Thread(target=arrive_late, daemon=True).start()
        time.sleep(0.1)
        status = instance.deregister()
        ack = time.monotonic()
        if status != 200:
            record("the deregistration got no ack", True)
            return 2
        record("%s: deregistered, acknowledged; the node started %.2f s "
               "before" % (instance.id_, ack - started_at), True)
        time.sleep(SERVES_ON_S)
        instance.exit()
        time.sleep(0.5)
        traffic.stop()
        if mesh.ended():
            record("ended by themselves: %s" % mesh.ended(), True)
        late = leaving.judge(
            record, traffic, instance, ack, started_at + m.BOUND["contact"])
        answered = sum(1 for _, _, status in traffic.answers_.values()
                       if status == 200)
        if answered < len(traffic.answers_) / 2:
            return 2
        return 1 if late else 0
    finally:
        started.stop()


m.play(main)
