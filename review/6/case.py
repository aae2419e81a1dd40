"""An instance that has deregistered gets work after all nodes were killed."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../support-2"))
import mesh_case  # noqa: E402
from mesh_case import Instance, Mesh, TROUBLE, call, now  # noqa: E402

# Bounds of the site regie-valbelair.
DRAIN_S = 2.5
CONTACT_S = 3.0
# A check-in that was sent before the instance deregistered arrives this much
# after it was sent.
LATE_S = 3.0
# The instance serves for so long after the acknowledgement before it exits.
LINGER_S = 7.0
HOST = "desk.example"


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
        leaving, staying = [
            Instance(record, f"i-desk-{index}", "desk", node.zone, node.app,
                     node.control, work_s=0.3)
            for index, node in enumerate(desk)]
        for instance in (leaving, staying):
            instance.start_beats()
        time.sleep(5)
        served = [call(record, front[0], HOST, "/orders/1", "POST", b"order")
                  [1].status for _ in range(10)]
        if served.count(200) < 8 or not leaving.runs:
            raise mesh_case.CannotRun("orders are not served before the case")

        # The instance leaves without reporting that it drains.
        leaving.alive = False
        time.sleep(0.1)
        late = leaving.beat()
        late_at = now() + LATE_S
        record.write(f"i-desk-0 sends a check-in that arrives {LATE_S} s late")
        time.sleep(0.2)
        if not leaving.send(f"/api/Instances.Deregister/{leaving.name}"):
            raise mesh_case.CannotRun("the deregistration got no answer")
        acknowledged = now()
        if TROUBLE:
            time.sleep(0.5)
            for node in mesh.nodes:
                node.kill()
            time.sleep(0.5)
            for node in mesh.nodes:
                node.start()
        calm_from = max(now() + CONTACT_S, acknowledged + DRAIN_S)
        while now() < late_at:
            time.sleep(0.01)
        leaving.send(*late)
        while now() < calm_from + 0.2:
            time.sleep(0.01)

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
