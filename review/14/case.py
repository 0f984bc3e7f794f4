"""Three machines of a zone are lost for good. The other machines of that zone
no longer reach the endpoints of other zones."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness3 as h  # noqa: E402

LOST = ("sidecar-a-01", "sidecar-a-02", "sidecar-a-03")


async def measure(d, nodes, title, paths, seconds):
    """Sends requests on each path at each node, and returns for each path how
    many were served and asked. A requester that gets 503 comes back once, when
    Retry-After says."""
    total = {path: [0, 0] for path in paths}
    by_zone = {}
    number = 0

    async def ask(node, path, request_id):
        answer = (None, {}, b"")
        for attempt in range(2):
            answer = await node.request(f"{request_id}-{attempt}", "shop.example", path)
            if answer[0] != 503:
                break
            await asyncio.sleep(min(float(answer[1].get("retry-after", 0.1)), 0.7))
        for count in (total[path], by_zone.setdefault(f"{path} at {node.zone}", [0, 0])):
            count[0] += answer[0] == 200
            count[1] += 1

    end = d.record.now() + seconds
    while d.record.now() < end:
        number += 1
        await asyncio.gather(
            *(
                ask(node, path, f"{title}-{number}-{node.name}-{k}")
                for node in nodes
                for k, path in enumerate(paths)
            )
        )
        await asyncio.sleep(0.4)
    d.record.say(f"{title}: served and asked: {by_zone}")
    return total


async def case(d):
    # 12 machines in two zones, two services.
    for i in range(1, 11):
        d.add(f"sidecar-a-{i:02}", "zone-a", "north", "ledger" if i <= 3 else "hammer")
    d.add("sidecar-b-01", "zone-b", "south", "ledger")
    d.add("sidecar-b-02", "zone-b", "south", "hammer")
    services = ["ledger", "hammer"]
    bids = h.route("r-bids", "/bids/", "hammer")
    lots = h.route("r-lots", "/lots/", "ledger")
    d.store.put("op", "config", h.desired_state(5, [bids], services))
    await d.start()
    await d.wait_ready()
    await asyncio.sleep(4)

    left = d.nodes
    if h.TROUBLE:
        left = [node for node in d.nodes if node.name not in LOST]
        for node, endpoint in zip(d.nodes, d.endpoints):
            if node not in left:
                d.record(f"{node.name} and its endpoint are lost for good")
                node.process.kill()
                await node.process.wait()
                await endpoint.end()
                await asyncio.sleep(4)
    await asyncio.sleep(10)

    # Steady state: the operator adds a route.
    d.store.put("op", "config", h.desired_state(9, [bids, lots], services))
    await asyncio.sleep(d.BOUNDS["config_apply_ms"] / 1000 + 0.5)
    total = await measure(d, left, "after-change", ["/bids/1", "/lots/7"], 20)
    first = total["/bids/1"][0] / total["/bids/1"][1]
    added, asked = total["/lots/7"][0] / total["/lots/7"][1], total["/lots/7"][1]
    d.record.say(
        f"first route: {first:.2f} served; route added later: {added:.2f} of {asked} served"
    )
    if first == 0 or asked < 20:
        raise h.CannotRun("too few requests to judge")
    # The rule: 20 or more requests, served less than a quarter as often.
    return added >= first / 4


h.run_case(HERE, case)
