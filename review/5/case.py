"""EXPOSURE: a second order sends the traffic to a version still on trial."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import bed as bed_module

SERVICE = "purchasing"
DURATION_S = 16.0
SECOND_ORDER_S = 1.0
SECOND_VERSION = "v1"
RATE_PER_S = 100.0
BAD_SHARE = 0.5
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
ROLLBACK_S, BAD_ANSWERS = 5.0, 50


async def call(bed, node, number, sent):
    attempt = f"read-{number}"
    sent[attempt] = bed.record.now()
    status, answered, _ = await bed_module.request(
        node.address(bed_module.OUTBOUND),
        "GET",
        f"/read/{number}",
        {
            "Host": f"{SERVICE}.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "1500",
        },
        timeout=3.0,
    )
    bed.record.line(
        f"client gets {status} for {attempt} from"
        f" {answered.get('x-upstream-stamp', '-')}"
    )
    return status


async def load(bed, nodes, seconds, sent):
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    number = len(sent)
    while loop.time() - started < seconds:
        number += 1
        node = nodes[number % len(nodes)]
        tasks.append(asyncio.create_task(call(bed, node, number, sent)))
        await asyncio.sleep(
            max(0.0, started + len(tasks) / RATE_PER_S - loop.time())
        )
    return [await task for task in tasks]


async def case(bed):
    bed.store.put("op", "config", bed_module.config(1, [SERVICE]))
    versions = ["v1", "v1", "v2", "v2"]
    nodes = [
        await bed.node(f"node-{n}", service=SERVICE) for n in range(len(versions))
    ]
    targets = [
        bed_module.Target(node, f"i-{node.name}", version=version)
        for node, version in zip(nodes, versions, strict=True)
    ]
    rng = random.Random(7)
    for target in targets:
        if target.version == "v2":
            target.fails = lambda attempt: rng.random() < BAD_SHARE

    async def start(version):
        for node, target in zip(nodes, targets, strict=True):
            if target.version == version:
                node.start()
                await target.start()
        for node, target in zip(nodes, targets, strict=True):
            if target.version == version:
                await node.until_ready()

    sent = {}
    await start("v1")
    await asyncio.sleep(3.0)
    await load(bed, nodes[:2], 3.0, sent)
    # The new version is started beside the old one, then ordered.
    await start("v2")
    ordered = bed.record.now()
    order = {"service": SERVICE, "to": "v2", "duration": f"{DURATION_S:g}s"}
    bed.store.put("op", f"rollout/{SERVICE}", order)
    bed.record.line("operator orders v2")
    background = asyncio.create_task(load(bed, nodes, DURATION_S + 1, sent))
    if bed_module.TROUBLE:
        await asyncio.sleep(SECOND_ORDER_S)
        second = {**order, "to": SECOND_VERSION}
        bed.store.put("op", f"rollout/{SERVICE}", second)
        bed.record.line(f"another operator orders {SECOND_VERSION}")
    await background
    status = bed.store.get("status", f"rollout/{SERVICE}")
    bed.record.say(f"status at the end: {status}")

    # A run counts by the time at which its request was sent.
    runs = [
        (sent[attempt], at, target.version)
        for target in targets
        for at, attempt, *_ in target.runs
        if ordered <= sent[attempt] <= ordered + DURATION_S
    ]
    if len(runs) < 500:
        raise bed_module.CannotRun(f"only {len(runs)} runs")
    exposed = sum(version == "v2" for *_, version in runs)
    allowed = EXPOSURE_SHARE * len(runs) + EXPOSURE_SLACK
    bed.record.say(
        f"the bad version ran {exposed} of {len(runs)}; {allowed:.0f} allowed"
    )
    bad = sorted(
        at
        for target in targets
        for at, attempt, *_ in target.runs
        if target.version == "v2" and attempt in target.failed
    )
    late = 0
    if len(bad) >= BAD_ANSWERS:
        bound = bad[BAD_ANSWERS - 1] + ROLLBACK_S
        late = sum(v == "v2" and at > bound for at, _, v in runs)
        bed.record.say(
            f"{len(bad)} bad answers, the 50th at {bad[BAD_ANSWERS - 1]:.1f} s;"
            f" {late} requests sent over 5 s later went to the bad version"
        )
    return exposed > allowed or late > 0


bed_module.play(pathlib.Path(__file__).resolve().parent, case, limit=90.0)
