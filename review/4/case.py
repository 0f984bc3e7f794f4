"""Two of four sidecars, those that follow the store, are partitioned from it
just before a desired state is acknowledged. The other two are never disturbed
and reach the store all the while; they must apply the state within 2 s."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import TROUBLE, Connection, Endpoint, Link, desired_state, run_case

HOST = "shop.example"
CONFIG_APPLY_S = 2.0
STABLE_S = 3.0
CUT_S = 4.0
# Between the two desired states. After the first one the followers wait 0.4 s
# and then ask the store for changes again.
BETWEEN_S = 0.6
PROBE_PERIOD_S = 0.05
TIMEOUT_MS = 1000


def state(version, dropped):
    return desired_state(version, HOST, [
        ("kept", "/kept/", "ledger", "safe", TIMEOUT_MS, 1),
        ("dropped" if dropped else "added", "/dropped/" if dropped else "/added/",
         "ledger", "safe", TIMEOUT_MS, 1)], ["ledger"])


def case(record, deployment):
    store = deployment.store
    store.operator_writes("config", state(4, True))
    links = []
    for i in range(1, 5):
        endpoint = Endpoint(record, "i-%d" % i, "ledger")
        links.append(Link(store.address))
        sidecar = deployment.add("sidecar-a-%d" % i, endpoint.address, "ledger",
                                 store_address=links[-1].address)
        sidecar.start()
        endpoint.check_in_to(sidecar.admin)
    deployment.wait_ready()
    time.sleep(STABLE_S)
    record("desired state 6 is sent")
    store.operator_writes("config", state(6, True))
    record("desired state 6 is acknowledged")
    time.sleep(BETWEEN_S)
    if TROUBLE:
        for i in (0, 1):
            record("sidecar-a-%d is partitioned from the store for %.0f s" % (i + 1, CUT_S))
            links[i].cut()
    store.operator_writes("config", state(9, False))
    acknowledged = time.monotonic()
    record("desired state 9 is acknowledged: it drops /dropped/ and adds /added/")
    stale = []

    def probe(sidecar):
        connection = Connection(sidecar.caller)
        number = 0
        while time.monotonic() < acknowledged + CUT_S:
            for path, fresh in (("/dropped/", 404), ("/added/", 200)):
                number += 1
                ident = "%s-%d" % (sidecar.name, number)
                sent = time.monotonic() - acknowledged
                connection.send(ident, HOST, path, timeout_ms=TIMEOUT_MS)
                status = connection.read_answer()["status"]
                record("%s: request %s for %s sent %.3f s after the acknowledgement gets %s" % (
                    sidecar.name, ident, path, sent, status))
                if sent > CONFIG_APPLY_S and status in (200, 404) and status != fresh:
                    stale.append(ident)
            time.sleep(PROBE_PERIOD_S)

    threads = [threading.Thread(target=probe, args=(sidecar,))
               for sidecar in deployment.sidecars[2:]]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for link in links:
        link.heal()
    record("%d requests were sent later than %.0f ms after the acknowledgement and handled as "
           "only the older version allows" % (len(stale), CONFIG_APPLY_S * 1000))
    return not stale


run_case(case)
