"""The two readers of a region are cut off from the store before a change."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import harness2 as h  # noqa: E402

OLD, NEW = "ledger", "hammer"
CUT_S = 5.5  # As in the site's list of troubles.
FIRST_TO_SECOND_S = 0.75  # Between two changes of the desired state.
CUT_BEFORE_S = 0.1  # The cut comes this long before the second change.
PROBE_S = 0.05
APPLY_S = h.BOUNDS["config_apply_ms"] / 1000


def routes(service):
    return [("/bids/", "safe", service, 1000)]


async def play(fleet, trouble):
    await fleet.store.start()
    fleet.write_state(1, routes(OLD), [OLD, NEW])
    hosts = [fleet.add_host("ab"[i % 2], "west", OLD if i < 4 else NEW)
             for i in range(8)]
    for host in hosts:
        host.store_link = h.HttpProxy(host.ip, fleet.store)
        await host.store_link.start()
        host.start(first=True)
    targets = [h.Target(host, host.service, "v1", work_s=0.02)
               for host in hosts]
    for target in targets:
        await target.start()
    await fleet.until_ready(hosts)
    await asyncio.sleep(6)

    service_of = {}  # request id -> service that ran it
    probes = []  # (when sent, host, request id, status)
    state = {"open": True}
    tasks = set()

    async def probe(host):
        sent = time.monotonic()
        request, status, _, _ = await host.request("GET", "/bids/1", 1.0)
        probes.append((sent, host, request, status))

    async def probe_all():
        while state["open"]:
            for host in hosts:
                task = asyncio.create_task(probe(host))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(PROBE_S)

    followers = [host for host in hosts if host.store_link.follows()]
    fleet.note("machines that wait for changes at the store: "
               + ", ".join(host.name for host in followers))
    background = asyncio.create_task(probe_all())
    await asyncio.sleep(1)
    fleet.write_state(5, routes(OLD) + [("/more/", "safe", OLD, 1000)],
                      [OLD, NEW])
    await asyncio.sleep(FIRST_TO_SECOND_S - CUT_BEFORE_S)
    if trouble:
        for host in followers[:2]:
            host.store_link.cut = True
        fleet.note("cut off from the store: "
                   + ", ".join(host.name for host in followers[:2]))
    cut = set(followers[:2]) if trouble else set()
    await asyncio.sleep(CUT_BEFORE_S)
    fleet.write_state(9, routes(NEW), [OLD, NEW])
    acked = time.monotonic()
    await asyncio.sleep(CUT_S - CUT_BEFORE_S)
    for host in hosts:
        host.store_link.heal()
    fleet.note("all machines reach the store")
    await asyncio.sleep(1)
    state["open"] = False
    await background
    await asyncio.gather(*tasks)

    for target in targets:
        for _, request, _, ran in target.arrivals:
            if ran:
                service_of[request] = target.service
    late = [(sent, host, request) for sent, host, request, _ in sorted(
        probes, key=lambda p: p[0])
        if sent > acked + APPLY_S and host not in cut
        and service_of.get(request) == OLD]
    for host in hosts:
        new = [sent - acked for sent, at, request, _ in probes
               if at is host and service_of.get(request) == NEW]
        fleet.note(f"{host.name}: first request run by {NEW} was sent "
                   f"{min(new, default=-1):.2f} s after the acknowledgement"
                   + (" (cut off)" if host in cut else ""))
    fleet.note(f"{len(late)} requests sent to machines with a path to the "
               f"store later than config_apply_ms after the acknowledgement "
               f"were run by {OLD}")
    for sent, host, request in late[-3:]:
        fleet.note(f"  request {request} sent to {host.name} "
                   f"{sent - acked:.2f} s after the acknowledgement")
    if len(followers) < 2:
        raise h.CannotRun("fewer than two machines follow the store")
    if late:
        return (f"CONFIG: {len(late)} requests were run by the old service "
                "more than config_apply_ms after the acknowledgement")
    return ""


h.main(FOLDER, play)
