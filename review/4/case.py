"""A request that crashes each endpoint that begins to run it comes again every
4 s, beside other requests. Its arrivals at endpoints are counted."""

import json
import os
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import TROUBLE, Connection, Endpoint, desired_state, free_port, run_case

HOST = "shop.example"
POISON_PATH = "/bids/17"
POISON_BODY = b"block=17&bid=900"
STABLE_S = 3
BACK_AFTER_S = 3
RETRIES_ALLOWED = 3
PERIOD_S = 4
ATTEMPTS = 12
# Requests of others, of which each node takes a quarter.
OTHERS_PER_S = 1
TIMEOUT_MS = 2000


def endpoint_process(port, ident, admin):
    """Runs one lifetime of an endpoint; prints a line for each run."""
    def work(run):
        line = json.dumps({"ident": ident, "id": run["id"], "path": run["path"]}) + "\n"
        os.write(1, line.encode())
        if TROUBLE and run["path"] == POISON_PATH:
            time.sleep(0.05)
            os._exit(1)
        time.sleep(0.1)
        return 200, b"done\n"

    endpoint = Endpoint(lambda text: None, ident, "hammer", work=work,
                        address=("127.0.0.1", port))
    endpoint.check_in_to(admin)
    threading.Event().wait()


class Machine:
    """Starts an endpoint, and starts it again some seconds after each crash."""

    def __init__(self, record, name, port, admin, runs):
        self.record, self.name, self.port, self.admin, self.runs = record, name, port, admin, runs
        self.process = None
        self.ending = False
        self.lock = threading.Lock()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        lifetime = 0
        while not self.ending:
            lifetime += 1
            ident = "i-%s-%d" % (self.name, lifetime)
            with self.lock:
                if self.ending:
                    return
                self.process = subprocess.Popen(
                    [sys.executable, os.path.abspath(__file__), str(self.port), ident, self.admin],
                    stdout=subprocess.PIPE, stdin=subprocess.DEVNULL, text=True)
            self.record("endpoint %s starts" % ident)
            for line in self.process.stdout:
                run = json.loads(line)
                run["at"] = time.monotonic()
                self.runs.append(run)
                self.record("endpoint %s runs %s %s" % (ident, run["id"], run["path"]))
            self.process.wait()
            if not self.ending:
                self.record("endpoint %s has crashed" % ident)
                time.sleep(BACK_AFTER_S)

    def end(self):
        with self.lock:
            self.ending = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def call(record, sidecar, ident, path, method, body):
    try:
        connection = Connection(sidecar.caller, timeout=4)
        connection.send(ident, HOST, path, method, body, TIMEOUT_MS)
        answer = connection.read_answer()
        connection.close()
        record("requester at %s sent %s %s and got %s %s" % (
            sidecar.name, ident, path, answer["status"], answer["error"]))
    except OSError as error:
        record("requester at %s sent %s %s: %r" % (sidecar.name, ident, path, error))


def case(record, deployment):
    runs = []
    machines = []
    deployment.store.operator_writes("config", desired_state(
        12, HOST, [("bids", "/bids/", "hammer", "unsafe", TIMEOUT_MS, 1),
                   ("lots", "/lots/", "hammer", "safe", TIMEOUT_MS, 1)], ["hammer"]))
    try:
        for name in ("a", "b", "c", "d"):
            port = free_port()
            sidecar = deployment.add("sidecar-" + name, "127.0.0.1:%d" % port, "hammer")
            sidecar.start()
            machines.append(Machine(record, name, port, sidecar.admin, runs))
        deployment.wait_ready()
        time.sleep(STABLE_S)
        for attempt in range(ATTEMPTS):
            sidecar = deployment.sidecars[attempt % 4]
            call(record, sidecar, "poison-%d" % attempt, POISON_PATH, "POST", POISON_BODY)
            for number in range(OTHERS_PER_S * PERIOD_S):
                time.sleep(1 / OTHERS_PER_S)
                threading.Thread(target=call, daemon=True, args=(
                    record, deployment.sidecars[number % 4],
                    "view-%d-%d" % (attempt, number), "/lots/%d" % number, "GET", b"")).start()
        time.sleep(1)
    finally:
        for machine in machines:
            machine.end()
    arrivals = [run["at"] for run in runs if run["path"] == POISON_PATH]
    served = sum(1 for run in runs if run["path"] != POISON_PATH)
    record("%d other requests ran; the request in question reached endpoints %d times" % (
        served, len(arrivals)))
    if not served:
        raise SystemError("no other request ran")
    if not TROUBLE:
        return True
    if len(arrivals) < 3:
        return True
    later = [at for at in arrivals if at > arrivals[2] + STABLE_S]
    record("arrivals later than %d s after the third crash: %d, allowed %d" % (
        STABLE_S, len(later), RETRIES_ALLOWED))
    return len(later) <= RETRIES_ALLOWED


if len(sys.argv) > 1:
    endpoint_process(int(sys.argv[1]), sys.argv[2], sys.argv[3])
else:
    run_case(case)
