"""DRAIN: a restarted node forgets a leave that it has acknowledged."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import bed as bed_module

SERVICE = "yard"
DRAIN_S, CONTACT_S = 2.5, 4.0
MARGIN_S = 0.5
DOWN_S = 1.0
AGAIN_S = 0.05
ACK_S = 4.0
STAYS_S = 14.0
GAP_S = 0.02


async def call(bed, node, number, answers):
    attempt = f"settle-{number}"
    status, answered, _ = await bed_module.request(
        node.address(bed_module.OUTBOUND),
        "PUT",
        f"/book/{number}",
        {
            "Host": f"{SERVICE}.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "1200",
        },
        b"weight=12",
        timeout=3.0,
    )
    answers[attempt] = status
    bed.record.line(
        f"client gets {status} for {attempt} from"
        f" {answered.get('x-upstream-stamp', '-')}"
    )


async def load(bed, nodes, answers):
    number = 0
    async with asyncio.TaskGroup() as tasks:
        while True:
            number += 1
            node = nodes[number % len(nodes)]
            tasks.create_task(call(bed, node, number, answers))
            await asyncio.sleep(GAP_S)


async def case(bed):
    bed.store.put("op", "config", bed_module.config(1, [SERVICE]))
    nodes = [await bed.node(f"node-{n}", service=SERVICE) for n in (1, 2, 3)]
    targets = [
        bed_module.Target(node, f"i-{node.name}", work=0.1) for node in nodes
    ]
    for node, target in zip(nodes, targets, strict=True):
        node.start()
        await target.start()
    for node in nodes:
        await node.until_ready()
    await asyncio.sleep(5.0)

    leaving_node, leaving = nodes[0], targets[0]
    answers = {}
    # All requests are taken by the two nodes that stay untouched.
    background = asyncio.create_task(load(bed, nodes[1:], answers))
    await asyncio.sleep(3.0)

    # This upstream deregisters first, and goes on serving for some seconds. It
    # says so again until it has an acknowledgement.
    leaving.silence()
    if bed_module.TROUBLE:
        leaving_node.signal(signal.SIGKILL)
        leaving_node.process.wait()
        await asyncio.sleep(DOWN_S)
        leaving_node.start()
    started = bed.record.now()
    while await leaving.deregister() != 200:
        if bed.record.now() > started + ACK_S:
            raise bed_module.CannotRun("the leave wasn't acknowledged")
        await asyncio.sleep(AGAIN_S)
    acknowledged = bed.record.now()
    await asyncio.sleep(acknowledged + STAYS_S - bed.record.now())
    leaving.stop()
    for connection in tuple(leaving.connections):
        connection.abort()
    bed.record.line(f"{leaving.id} exits")
    await asyncio.sleep(1.5)
    background.cancel()
    await asyncio.wait([background])

    bound = max(acknowledged + DRAIN_S, started + CONTACT_S + MARGIN_S)
    late = [
        (at, attempt) for at, attempt, *_ in leaving.runs if at > bound
    ]
    early = [at for at, *_ in leaving.runs if at < acknowledged]
    if len(early) < 10:
        raise bed_module.CannotRun("the upstream was hardly used before")
    lost = [a for _, a in late if answers.get(a) != 200]
    bed.record.say(
        f"acknowledged at {acknowledged:.1f} s; {len(late)} requests reached"
        f" the upstream after {bound:.1f} s, {len(lost)} of them got no 200"
    )
    return bool(late)


bed_module.play(pathlib.Path(__file__).resolve().parent, case, limit=60.0)
