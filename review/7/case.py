"""A late first check-in ends the drain of an instance."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../support-2"))
import mesh_case  # noqa: E402
from mesh_case import Instance, Mesh, TROUBLE, call, now  # noqa: E402

# Bound of the site regie-valbelair.
DRAIN_S = 2.5
# The first check-in arrives this much after it was sent.
LATE_S = 7.1
# Times after the start of the instance.
DRAINING_AT_S = 4.0
# The instance serves for so long after the acknowledgement before it exits.
LINGER_S = 4.4
HOST = "desk.example"


def wait_until(moment):
    while now() < moment:
        time.sleep(0.005)


def case():
    mesh = Mesh(FOLDER)
    record = mesh.record
    try:
        desk = [mesh.add_node("zone-a", "desk"), mesh.add_node("zone-b", "desk")]
        front = [mesh.add_node("zone-a", "front"), mesh.add_node("zone-b", "front")]
        mesh.publish(3, [
            mesh_case.route("orders", HOST, "/orders/", "non_idempotent", "desk"),
            mesh_case.service("desk"), mesh_case.service("front"),
            mesh_case.limits()])
        for node in mesh.nodes:
            node.start()
        mesh.wait_ready()
        staying = Instance(record, "i-desk-1", "desk", "zone-b", desk[1].app,
                           desk[1].control, work_s=0.3)
        staying.start_beats()
        time.sleep(3.5)

        # The counts of an instance start anew with each start.
        leaving = Instance(record, "i-desk-0", "desk", "zone-a", desk[0].app,
                           desk[0].control, work_s=0.3, first_sequence=0)
        started = now()
        first = leaving.beat()
        if TROUBLE:
            record.write(
                f"i-desk-0 sends its first check-in, which arrives {LATE_S} s late")
            mesh_case.later(LATE_S, lambda: leaving.send(*first))
        else:
            leaving.send(*first)
        wait_until(started + 1.0)
        leaving.start_beats()
        wait_until(started + 2.5)
        served = [call(record, front[0], HOST, "/orders/1", "POST", b"order")
                  [1].status for _ in range(4)]
        if served.count(200) < 3 or not leaving.runs:
            raise mesh_case.CannotRun("orders are not served before the case")

        wait_until(started + DRAINING_AT_S)
        leaving.state = "draining"
        if not leaving.send(*leaving.beat()):
            raise mesh_case.CannotRun("the check-in got no answer")
        acknowledged = now()
        wait_until(acknowledged + DRAIN_S)
        before = set(leaving.runs)
        end_at = acknowledged + LINGER_S
        mesh_case.later(end_at - now(), leaving.end)
        answers = mesh_case.load(
            record, front, HOST, "/orders/2", end_at + 0.5)
        reached = [request for request, answer in answers.items()
                   if answer.sent < end_at and leaving.runs[request]
                   and request not in before]
        lost = [request for request in reached
                if answers[request].status != 200]
        summary = (
            f"{len(reached)} of {len(answers)} orders that were sent more than"
            f" {DRAIN_S} s after the acknowledgement reached i-desk-0;"
            f" {len(lost)} of them were lost when it exited")
        record.write(summary)
        print(summary)
        return bool(reached)
    finally:
        mesh.close()


mesh_case.main(case)
