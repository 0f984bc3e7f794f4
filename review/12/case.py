"""A rollout has succeeded; the store comes back from a copy in which it still
runs; all processes are killed. The rollout is then taken back, and the service
is refused for good."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness3 as h  # noqa: E402

PERIOD_S = 12
COPY_AGE_S = 5.0
AWAY_S = 0.5
RECOVER_S = 15


def status(d):
    return (d.store.value("status", "rollout/ledger") or {}).get("state")


async def share_served(d, nodes, title, seconds):
    """A requester that gets 503 comes back once, when Retry-After says."""
    served = asked = number = 0

    async def ask(node, request_id):
        for attempt in range(2):
            answer = await node.request(f"{request_id}-{attempt}", "shop.example", "/lots/7")
            if answer[0] != 503:
                break
            await asyncio.sleep(min(float(answer[1].get("retry-after", 0.1)), 0.3))
        return answer[0] == 200

    end = d.record.now() + seconds
    while d.record.now() < end:
        number += 1
        results = await asyncio.gather(*(ask(n, f"{title}-{number}-{n.name}") for n in nodes))
        served += sum(results)
        asked += len(results)
        await asyncio.sleep(0.05)
    d.record.say(f"{title}: {served} of {asked} served, rollout status {status(d)}")
    return served / asked


async def case(d):
    places = (("zone-a", "north"), ("zone-b", "south"))
    for i in range(1, 4):
        zone, region = places[i % 2]
        d.add(f"sidecar-{zone[-1]}-0{i}", zone, region, "ledger")
    old = list(d.nodes)
    requesters = d.add("sidecar-a-07", "zone-a", "north", "hammer")
    rules = [h.route("r-lots", "/lots/", "ledger")]
    services = ["ledger", "hammer"]
    d.store.put("op", "config", h.desired_state(5, rules, services))
    await d.start()
    await d.wait_ready()
    await asyncio.sleep(3)

    # The operator orders the rollout; the endpoints of the new version are
    # started alongside the old ones.
    d.store.put(
        "op", "rollout/ledger", {"service": "ledger", "target": "v2", "period_s": PERIOD_S}
    )
    new = []
    for i in range(4, 7):
        zone, region = places[i % 2]
        node = d.add(f"sidecar-{zone[-1]}-0{i}", zone, region, "ledger")
        node.starts = 1  # not the first start of the system
        endpoint = d.endpoints[-1]
        endpoint.version = "v2"
        await node.start(endpoint)
        await endpoint.start()
        new.append(node)
    await d.wait_ready()

    copies = []

    async def copy_store():
        while True:
            copies.append((d.record.now(), d.store.copy()))
            await asyncio.sleep(0.25)

    copying = asyncio.create_task(copy_store())
    traffic = asyncio.create_task(share_served(d, old + [requesters], "rollout", 12))
    end = d.record.now() + 20
    while status(d) != "succeeded" and d.record.now() < end:
        await asyncio.sleep(0.05)
    if status(d) != "succeeded":
        raise h.CannotRun(f"the rollout did not succeed: {status(d)}")
    d.record("platform: the rollout has succeeded, the old endpoints stop")
    for node, endpoint in zip(d.nodes, d.endpoints):
        if node in old:
            await endpoint.end()
            node.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(1)
    copying.cancel()
    await traffic
    left = [(n, e) for n, e in zip(d.nodes, d.endpoints) if n not in old]
    nodes = [n for n, _ in left]

    if h.TROUBLE:
        now = d.record.now()
        at, copy = next((c for c in reversed(copies) if now - c[0] >= COPY_AGE_S), copies[0])
        d.record(f"drill: the store goes away at ver {d.store.ver}, status {status(d)}")
        await d.store.go_away()
        await asyncio.sleep(AWAY_S)
        # The operator wrote nothing since the copy.
        d.store.restore(copy)
        await d.store.start()
        d.record(
            f"drill: the store is back from a copy {now - at:.1f} s old, era {d.store.era}, "
            f"ver {d.store.ver}, status {status(d)}"
        )
    await asyncio.sleep(6)
    before = await share_served(d, nodes, "before", 5)

    # The final fault, right after a change of the desired state.
    rules.append(h.route("r-idle", "/idle/", "hammer"))
    d.store.put("op", "config", h.desired_state(9, rules, services))
    d.record("final fault: all processes are killed")
    for node in nodes:
        node.process.kill()
    for node in nodes:
        await node.process.wait()
    await asyncio.sleep(1)
    for node, endpoint in left:
        await node.start(endpoint)
    await asyncio.sleep(RECOVER_S + 1)
    after = await share_served(d, nodes, "recovered", 12)
    if before < 0.25:
        raise h.CannotRun("less than a quarter was served before the final fault")
    return after >= 0.25


h.run_case(HERE, case)
