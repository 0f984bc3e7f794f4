"""A target leaves while the store is down, and its sidecar is killed."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

SERVICE = "ledger"
RATE = 60
DOWN_S = 4.5  # As in the site's list of troubles.
RESTART_S = 1.0  # The platform restarts a killed process.
BEAT_DELAY_S = 2.5  # "A check-in may arrive seconds late."
SERVES_ON_S = 14.0  # "It continues serving ... (at times many seconds)."
STABLE_S = h.BOUNDS["stable_ms"] / 1000
DRAIN_S = h.BOUNDS["drain_ms"] / 1000


async def play(fleet, trouble):
    await fleet.store.start()
    fleet.write_state(1, [("/lots/", "safe", SERVICE, 1200)], [SERVICE])
    hosts = [fleet.add_host("ab"[i % 2], "west", SERVICE) for i in range(6)]
    for host in hosts:
        host.start(first=True)
    targets = [h.Target(host, SERVICE, "v1") for host in hosts]
    for target in targets:
        await target.start()
    await fleet.until_ready(hosts)
    await asyncio.sleep(8)

    state = {"open": True, "killed": -100.0, "store_back": -100.0}
    answers = {}
    sent = {}  # request id -> when a caller sent it and at which host

    async def one(host):
        at = time.monotonic()
        request, status, _, _ = await host.request("GET", "/lots/1", 2.5)
        sent[request] = (at, host)
        answers[status] = answers.get(status, 0) + 1

    async def traffic():
        count = 0
        while state["open"]:
            asyncio.create_task(one(hosts[count % len(hosts)]))
            count += 1
            await asyncio.sleep(1 / RATE)

    async def late_beat(body):
        await asyncio.sleep(BEAT_DELAY_S)
        fleet.note(f"a check-in that {leaver.id} sent before it left arrives: "
                   f"answer {await leaver.check_in(body)}")

    background = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    leaver = targets[0]
    if trouble:
        fleet.store.down = True
        fleet.note("the store answers 503 to all calls")
    down_at = time.monotonic()
    await asyncio.sleep(0.5)
    leaver.beats.cancel()
    late = asyncio.create_task(late_beat(leaver.check_in_body()))
    await asyncio.sleep(0.1)
    status = await leaver.leave()
    left = time.monotonic()
    fleet.note(f"target {leaver.id} leaves with DELETE: answer {status}")
    if status != 200:
        raise h.CannotRun("the leave was not acknowledged")
    if trouble:
        await asyncio.sleep(0.3)
        leaver.host.signal(signal.SIGKILL)
        leaver.host.process.wait()
        state["killed"] = time.monotonic()
        fleet.note(f"{leaver.host.name} was killed")
        await asyncio.sleep(RESTART_S)
        leaver.host.start()
        fleet.note(f"{leaver.host.name} was started again")
        await asyncio.sleep(down_at + DOWN_S - time.monotonic())
        fleet.store.down = False
        state["store_back"] = time.monotonic()
        fleet.note("the store answers again")
    await late
    await asyncio.sleep(left + SERVES_ON_S - time.monotonic())
    leaver.stop()
    fleet.note(f"target {leaver.id} has ended")
    await asyncio.sleep(2)
    state["open"] = False
    await asyncio.gather(background)
    await asyncio.sleep(2)

    fleet.note(f"answers by status: {answers}")
    # Before this, the restarted machine or the core was not in touch.
    in_touch = max(state["killed"] + RESTART_S + 0.1,
                   state["store_back"]) + STABLE_S
    reached = [(at, request) for at, request, _, _ in leaver.arrivals
               if at > left + DRAIN_S]
    counted = [(at, request) for at, request in reached
               if request in sent and sent[request][0] > in_touch]
    fleet.note(f"{len(reached)} requests reached {leaver.id} more than "
               f"drain_ms after its leave was acknowledged, {len(counted)} of "
               "them sent when all machines and the store had been "
               "undisturbed for stable_ms")
    for at, request in counted[:3]:
        fleet.note(f"  request {request}, sent to {sent[request][1].name} at "
                   f"{sent[request][0] - fleet.began:.3f} s, reached it at "
                   f"{at - fleet.began:.3f} s, {at - left:.1f} s after the "
                   "acknowledgement")
    if counted:
        return (f"DRAIN: {len(counted)} requests reached a target more than "
                "drain_ms after its leave was acknowledged")
    return ""


h.main(FOLDER, play)
