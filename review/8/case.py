"""A check-in of another writer ends the use of an instance for good."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../support-2"))
import mesh_case  # noqa: E402
from mesh_case import Instance, Mesh, TROUBLE, call, now  # noqa: E402

HOST = "desk.example"
# An announcement of an instance lasts 6 s, and the instances send a check-in
# every 1.5 s: the state of the odd check-in is long past by then.
WAIT_S = 10
LOAD_S = 20


def case():
    mesh = Mesh(FOLDER)
    record = mesh.record
    try:
        desk = [mesh.add_node("zone-a", "desk"), mesh.add_node("zone-b", "desk")]
        front = mesh.add_node("zone-a", "front")
        mesh.publish(3, [
            mesh_case.route("orders", HOST, "/orders/", "non_idempotent", "desk"),
            mesh_case.service("desk"), mesh_case.service("front"),
            mesh_case.limits()])
        for node in mesh.nodes:
            node.start()
        mesh.wait_ready()
        instances = [
            Instance(record, f"i-desk-{index}", "desk", node.zone, node.app,
                     node.control) for index, node in enumerate(desk)]
        for instance in instances:
            instance.start_beats()
        time.sleep(4)
        if TROUBLE:
            # All fields are well formed, but no service has this name.
            for index, instance in enumerate(instances):
                instance.send(f"/api/Instances.Heartbeat/i-odd-{index}", json.dumps({
                    "service": "not-a-service",
                    "address": f"{instance.address[0]}:8399",
                    "zone": instance.zone, "version": "v1", "slot_count": 18,
                    "state": "ready", "cold_remaining": "0ms", "sequence": 1,
                    "born": int(time.time() * 1000)}))
        time.sleep(WAIT_S)
        statuses = []
        end_at = now() + LOAD_S
        while now() < end_at:
            statuses.append(call(record, front, HOST, "/orders/1", "POST",
                                 b"order", deadline_ms=800)[1].status)
            time.sleep(0.1)
        served = statuses.count(200)
        summary = f"{served} of {len(statuses)} orders were served"
        record.write(summary)
        print(summary)
        return served == 0
    finally:
        mesh.close()


mesh_case.main(case)
