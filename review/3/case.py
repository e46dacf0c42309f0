"""LOST: a planned stop cuts postings that it has just read and passed on."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import bed as bed_module

SERVICE = "job-desk"
GRACE_S = 6.0
READ_S = 3.0
"""A request that was sent within this time of the SIGTERM may still be cut if
its upstream is at work in the last sixth of `grace`."""
WORK_S = 2.5
RATE_PER_S = 30
SEND_S = 4.0


def booking(attempt):
    return bed_module.encode(
        "PUT",
        f"/book/{attempt}",
        {
            "Host": f"{SERVICE}.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "10000",
        },
        b"plates=3",
    )


async def client(bed, node, number, stopped, sent, answers):
    """Keeps a connection, and sends one booking on it."""
    reader, writer = await asyncio.open_connection(
        node.host, bed_module.OUTBOUND
    )
    attempt = f"booking-{number}"
    try:
        await stopped.wait()
        await asyncio.sleep(number / RATE_PER_S)
        writer.write(booking(attempt))
        await writer.drain()
        sent[attempt] = time.monotonic()
        async with asyncio.timeout(9.0):
            status, *_ = await bed_module.read_answer(reader)
        answers[attempt] = status
    except (OSError, EOFError, TimeoutError) as error:
        answers[attempt] = type(error).__name__
    finally:
        bed.record.line(f"{attempt} ends with {answers.get(attempt)}")
        writer.transport.abort()


async def case(bed):
    bed.store.put(
        "op",
        "config",
        bed_module.config(1, [SERVICE], timeout="5s", target_latency="1510ms"),
    )
    # The stopped node is the only one of its zone: its clients stay with it.
    nodes = [
        await bed.node(f"sidecar-{zone}-{n}", service=SERVICE, zone=zone)
        for zone, n in (("tartu", 1), ("voru", 1), ("voru", 2))
    ]
    targets = [
        bed_module.Target(
            node, f"i-{node.name}", work=WORK_S, capacity=60
        )
        for node in nodes
    ]
    for node, target in zip(nodes, targets, strict=True):
        node.start()
        await target.start()
    for node in nodes:
        await node.until_ready()
    await asyncio.sleep(6.0)

    stopped = asyncio.Event()
    sent, answers = {}, {}
    clients = [
        asyncio.create_task(
            client(bed, nodes[0], number, stopped, sent, answers)
        )
        for number in range(int(RATE_PER_S * SEND_S))
    ]
    await asyncio.sleep(1.0)
    if bed_module.TROUBLE:
        nodes[0].signal(signal.SIGTERM)
    signalled = time.monotonic()
    stopped.set()
    await asyncio.gather(*clients)

    ran = {attempt for target in targets for _, attempt, *_ in target.runs}
    lost = [
        attempt
        for attempt, answer in answers.items()
        if attempt in ran and not isinstance(answer, int)
    ]
    broken = [
        attempt for attempt in lost if sent[attempt] - signalled > READ_S
    ]
    answered = sum(answer == 200 for answer in answers.values())
    if answered < 30:
        raise bed_module.CannotRun(f"only {answered} were answered")
    for attempt in broken:
        bed.record.line(
            f"{attempt} was sent {sent[attempt] - signalled:.3f} s after the"
            " SIGTERM, was run, and got no answer"
        )
    bed.record.say(
        f"{answered} answered; {len(lost)} were run and cut, {len(broken)} of"
        f" them were sent later than {READ_S:g} s after the SIGTERM"
    )
    return bool(broken)


bed_module.play(pathlib.Path(__file__).resolve().parent, case, limit=60.0)
