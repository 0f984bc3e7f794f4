"""The store comes back from a copy some seconds old; a later desired state is
never put in force."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness3 as h  # noqa: E402

# How long the store is away. The copy is 5 s old: the waits between copy() and
# the drill.
AWAY_S = 0.5


async def case(d):
    for name, zone, region, service in (
        ("sidecar-a-1", "zone-a", "north", "ledger"),
        ("sidecar-a-2", "zone-a", "north", "hammer"),
        ("sidecar-b-1", "zone-b", "south", "ledger"),
        ("sidecar-b-2", "zone-b", "south", "hammer"),
    ):
        d.add(name, zone, region, service)
    services = ["ledger", "hammer"]
    lots = h.route("r-lots", "/lots/", "ledger")
    d.store.put("op", "config", h.desired_state(5, [lots], services))
    await d.start()
    await d.wait_ready()
    await asyncio.sleep(6)

    # Calm work within the seconds that the drill takes back: one endpoint is
    # replaced (its node writes records), and the operator adds a route.
    copy = d.store.copy()
    d.record(f"the store's copy is made at ver {copy[1]}")
    await d.endpoints[1].drain_and_end(drain_s=2.0)
    await asyncio.sleep(0.3)
    await d.endpoints[1].start()
    await asyncio.sleep(1.5)
    second = h.desired_state(9, [lots, h.route("r-bids", "/bids/", "hammer")], services)
    d.store.put("op", "config", second)
    await asyncio.sleep(1.2)

    if h.TROUBLE:
        d.record(f"drill: the store goes away at ver {d.store.ver}")
        await d.store.go_away()
        await asyncio.sleep(AWAY_S)
        d.store.restore(copy)
        # What the operator wrote is written again.
        d.store.put("op", "config", second)
        await d.store.start()
        d.record(f"drill: the store is back, era {d.store.era}, ver {d.store.ver}")
    # Longer than stable_ms, and than the time in which endpoints check in again.
    await asyncio.sleep(8)

    # The operator moves the route to the other service.
    moved = h.desired_state(
        12,
        [h.route("r-lots", "/lots/", "hammer"), h.route("r-bids", "/bids/", "hammer")],
        services,
    )
    d.store.put("op", "config", moved)
    acked = d.record.now()
    await asyncio.sleep(d.BOUNDS["config_apply_ms"] / 1000 + 0.5)

    old, new, other = 0, 0, 0
    number = 0
    while d.record.now() < acked + 22:
        for node in d.nodes:
            number += 1
            status, _, body = await node.request(f"q{number:05d}", "shop.example", "/lots/7")
            if status == 200 and body.startswith(b"hammer"):
                new += 1
            elif status == 200 and body.startswith(b"ledger"):
                old += 1
            else:
                other += 1
        await asyncio.sleep(0.5)
    d.record.say(
        f"requests sent 2.5 to 22 s after the acknowledgement: {new} run by the new "
        f"service, {old} by the old one, {other} others; store calls {d.store.calls}"
    )
    if new + old == 0:
        raise h.CannotRun("no request was answered")
    return old == 0


h.run_case(HERE, case)
