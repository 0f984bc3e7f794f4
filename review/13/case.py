"""One upload within max_body_bytes takes a node over its memory limit, and the
requests that were open at the node end without an answer."""

import asyncio
import pathlib
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness3 as h  # noqa: E402

MEMORY_MB = 260  # limits.memory_mb of the small deployments
BODY_MB = 60 if h.TROUBLE else 2  # max_body_bytes is 64 MiB
RESTART_S = 0.5
UPLOADS = 3


def peak_mb(process):
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
        return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024
    except (OSError, AttributeError):
        return 0.0


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, d):
        self.d = d
        self.kills = {node.name: 0 for node in d.nodes}
        self.peak = 0.0

    async def watch(self, node, endpoint):
        while True:
            await asyncio.sleep(0.005)
            peak = peak_mb(node.process)
            self.peak = max(self.peak, peak)
            if peak > MEMORY_MB:
                node.process.kill()
                await node.process.wait()
                self.kills[node.name] += 1
                self.d.record(
                    f"platform kills {node.name}: {peak:.0f} MB of {MEMORY_MB} MB"
                )
                await asyncio.sleep(RESTART_S)
                await node.start(endpoint)


async def case(d):
    for name, zone, region, service in (
        ("sidecar-a-1", "zone-a", "north", "ledger"),
        ("sidecar-a-2", "zone-a", "north", "hammer"),
        ("sidecar-b-1", "zone-b", "south", "ledger"),
        ("sidecar-b-2", "zone-b", "south", "hammer"),
    ):
        d.add(name, zone, region, service, work_s=0.6)
    state = h.desired_state(
        5,
        [
            h.route("r-batch", "/batch/", "hammer", "upload", timeout_ms=8000),
            h.route("r-bids", "/bids/", "hammer", "unsafe"),
        ],
        ["ledger", "hammer"],
    )
    limit = state["limits"]["max_body_bytes"]
    d.store.put("op", "config", state)
    await d.start()
    await d.wait_ready()
    await asyncio.sleep(3)
    platform = Platform(d)
    watchers = [
        asyncio.create_task(platform.watch(n, e)) for n, e in zip(d.nodes, d.endpoints)
    ]
    body = b"b" * (BODY_MB << 20)
    assert len(body) <= limit
    asked = cut = 0
    for i in range(UPLOADS):
        for node in (d.nodes[0], d.nodes[2]):
            kept = [h.KeptConnection(node) for _ in range(4)]
            for k, connection in enumerate(kept):
                await connection.open()
                await connection.request(
                    f"first-{i}-{node.name}-{k}", "shop.example", "/bids/1", "PUT", 1500, b"1"
                )
            upload = asyncio.create_task(
                node.request(
                    f"batch-{i}-{node.name}", "shop.example", "/batch/1", "POST", 8000, body
                )
            )
            # Bids are at work at their endpoints while the upload comes in.
            names = [f"bid-{i}-{node.name}-{k}" for k in range(len(kept))]
            answers = await asyncio.gather(
                *(
                    c.request(name, "shop.example", "/bids/1", "PUT", 1500, b"1")
                    for c, name in zip(kept, names)
                )
            )
            for name, answer in zip(names, answers):
                passed_on = any(name in endpoint.runs for endpoint in d.endpoints)
                asked += 1
                cut += passed_on and answer is None
            await upload
            for connection in kept:
                connection.close()
            await asyncio.sleep(4)
    for watcher in watchers:
        watcher.cancel()
    d.record.say(
        f"bodies of {BODY_MB} MiB of {limit >> 20} MiB allowed; peak {platform.peak:.0f} MB "
        f"of {MEMORY_MB} MB; processes ended: {platform.kills}; requests from kept connections "
        f"that were passed on and ended with a closed connection: {cut} of {asked}"
    )
    # The rule: more than three times.
    return cut <= 3


h.run_case(HERE, case)
