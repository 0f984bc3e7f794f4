"""A request that crashes targets returns after all sidecars were killed."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

SERVICE = "ledger"
POISON = "/orders/crash"
BACK_AFTER_S = 2.0  # "The endpoint is back after some seconds."
PAUSE_S = 2.5  # Between two retries of the request.
RESTART_S = 1.0  # The platform restarts a killed process.
PARTS = 3  # Of the run; all sidecars are killed after each but the last.
RETRIES = 5  # Of the request in each part.
RATE = 90  # Other requests a second.
WORK_S = 0.5
STABLE_S = h.BOUNDS["stable_ms"] / 1000


class FragileTarget(h.Target):
    """A target that crashes when it begins to run the poison request."""

    crashes = []  # When a target crashed, over all targets.
    reached = []  # (request id, when it reached a target)

    async def handle(self, method, target, fields, body):
        if target == POISON and \
                fields.get("x-target-instance", self.id) == self.id:
            now = time.monotonic()
            self.host.fleet.note_arrival(self, fields["x-request-id"],
                                         "crashed a target")
            FragileTarget.reached.append((fields["x-request-id"], now))
            FragileTarget.crashes.append(now)
            asyncio.create_task(self._crash())
            return None
        return await super().handle(method, target, fields, body)

    async def _crash(self):
        self.stop()
        await asyncio.sleep(BACK_AFTER_S)
        # A new lifetime with a new id.
        self.id = "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self.sequence = self.running = 0
        await self.start()


async def play(fleet, trouble):
    await fleet.store.start()
    fleet.write_state(1, [("/orders/", "unsafe", SERVICE, 1500),
                          ("/lots/", "safe", SERVICE, 1200)], [SERVICE])
    hosts = [fleet.add_host("ab"[i % 2], "west", SERVICE) for i in range(6)]
    for host in hosts:
        host.start(first=True)
    targets = [FragileTarget(host, SERVICE, "v1", work_s=WORK_S)
               for host in hosts]
    for target in targets:
        await target.start()
    await fleet.until_ready(hosts)
    await asyncio.sleep(4)

    state = {"open": True, "kill": -100.0, "count": 0}
    answers = {}

    async def calm():
        """The other requests of the callers."""
        count = 0
        while state["open"]:
            host = hosts[count % len(hosts)]
            path = "/orders/1" if count % 2 == 0 else f"/lots/{count}"
            method = "POST" if count % 2 == 0 else "GET"
            asyncio.create_task(one(host, method, path, b"order %d" % count))
            count += 1
            await asyncio.sleep(1 / RATE)

    async def one(host, method, path, body):
        _, status, _, _ = await host.request(method, path, 2.5, body)
        answers[status] = answers.get(status, 0) + 1

    retries = []  # (request id, when sent, whether in touch)

    async def poison():
        host = hosts[state["count"] % len(hosts)]
        state["count"] += 1
        sent = time.monotonic()
        in_touch = sent - state["kill"] > RESTART_S + STABLE_S
        request, status, _, data = await host.request(
            "POST", POISON, 2.5, b"the same body")
        retries.append((request, sent, in_touch))
        hit = sum(r == request for r, _ in FragileTarget.reached)
        fleet.note(f"poison request {request} sent to {host.name}: reached "
                   f"{hit} targets, answer {status} {data[:40]!r}; "
                   f"{len(FragileTarget.crashes)} crashes so far")

    async def kill_all():
        for host in hosts:
            host.kill()
        state["kill"] = time.monotonic()
        fleet.note("all sidecars were killed")
        await asyncio.sleep(RESTART_S)
        for host in hosts:
            host.start()
        await fleet.until_ready(hosts)
        await asyncio.sleep(STABLE_S + 1)
        fleet.note("all sidecars are back, ready and in touch")

    background = asyncio.create_task(calm())
    await asyncio.sleep(1)
    for part in range(PARTS):
        for _ in range(RETRIES):
            await poison()
            await asyncio.sleep(PAUSE_S)
        if trouble and part + 1 < PARTS:
            await kill_all()
    state["open"] = False
    await asyncio.gather(background)
    await asyncio.sleep(1)

    fleet.note(f"answers to other requests by status: {answers}")
    if len(FragileTarget.crashes) < 3:
        raise h.CannotRun("the poison request crashed fewer than 3 targets")
    since = FragileTarget.crashes[2] + STABLE_S
    fleet.note(f"third crash at {FragileTarget.crashes[2] - fleet.began:.1f} "
               f"s; {len(FragileTarget.crashes)} crashes in all")
    late = [request for request, sent, in_touch in retries
            if sent > since and in_touch
            and any(r == request for r, _ in FragileTarget.reached)]
    fleet.note(f"{len(late)} retries sent by machines in touch more than "
               "stable_ms after the third crash reached targets; 3 are allowed")
    if len(late) > 3:
        return (f"BUDGET: the poison request reached targets in {len(late)} "
                "retries after its third crash")
    return ""


h.main(FOLDER, play)
