"""CONFIG: a change reaches nobody while the store is silent to two nodes."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import bed as bed_module

SERVICES = ("purchasing", "yard")
SILENT_S = 9.0
CONFIG_APPLY_S, PARTITION_MAX_S, CONTACT_S = 2.5, 5.0, 4.0
PROBE_S = 0.25
WATCH_S = 14.0


def changed(version, moved_to):
    """Returns a configuration whose route `/moved/` leads to a service."""
    document = bed_module.config(version, SERVICES)
    document["routes"]["rows"].append(
        ["moved", "moved.example", "/moved/", "non_idempotent",
         "1s", "500ms", 1, 2, moved_to]
    )  # fmt: skip
    return document


async def probe(bed, node, number):
    """Returns the service that ran a posting on the moved route."""
    attempt = f"moved-{number}"
    status, answered, _ = await bed_module.request(
        node.address(bed_module.OUTBOUND),
        "PUT",
        f"/moved/{number}",
        {
            "Host": "moved.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "1500",
        },
        b"offer",
        timeout=3.0,
    )
    stamp = answered.get("x-upstream-stamp", "-")
    bed.record.line(f"{node.name} answers {attempt}: {status} {stamp}")
    return stamp.split(".")[0].rpartition("@")[2] if status == 200 else None


async def case(bed):
    bed.store.put("op", "config", changed(1, "purchasing"))
    nodes = [
        await bed.node(
            f"sidecar-{zone}-{n}",
            service=SERVICES[n % 2],
            zone=zone,
        )
        for n in (1, 2, 3)
        for zone in ("valpo-a", "valpo-b")
    ]
    for node in nodes:
        node.start()
        await bed_module.Target(node, f"i-{node.name}@{node.service}").start()
    for node in nodes:
        await node.until_ready()
    await asyncio.sleep(8.0)
    # An ordinary change some time before; all nodes follow it.
    bed.store.put("op", "config", changed(2, "yard"))
    await asyncio.sleep(CONFIG_APPLY_S)
    for number, node in enumerate(nodes):
        if await probe(bed, node, f"before-{number}") != "yard":
            raise bed_module.CannotRun("the first change isn't in force")

    readers = sorted(name for name, n in bed.store.watching.items() if n)
    bed.record.line(f"nodes that watch the store: {readers}")
    if len(readers) > len(nodes) * 0.35:
        raise bed_module.CannotRun("too many nodes watch the store")
    silent_from = bed.record.now()
    if bed_module.TROUBLE:
        bed.store.begin_silence(readers)
        bed.record.line("the store gives these no answer")
    await asyncio.sleep(0.5)
    bed.store.put("op", "config", changed(3, "purchasing"))
    acknowledged = bed.record.now()
    bed.record.line("the operator moves the route to purchasing")

    others = [node for node in nodes if node.name not in readers] or nodes
    late_silent, late_calm = 0, 0
    number = 0
    while (now := bed.record.now()) < acknowledged + SILENT_S + WATCH_S:
        if bed.store.silent and now > silent_from + SILENT_S:
            bed.store.end_silence()
            bed.record.line("the store answers all machines again")
        number += 1
        service = await probe(bed, others[number % len(others)], number)
        if service == "yard":
            # While the store turns some machines away, the bound is longer.
            late_silent += (
                now > acknowledged + CONFIG_APPLY_S + PARTITION_MAX_S
            )
            late_calm += now > silent_from + SILENT_S + CONTACT_S
        await asyncio.sleep(PROBE_S)
    bed.record.say(
        f"run by the old service: {late_silent} requests sent over"
        f" {CONFIG_APPLY_S + PARTITION_MAX_S:g} s after the acknowledgement,"
        f" {late_calm} of them after all was calm for {CONTACT_S:g} s"
    )
    return late_silent > 0


bed_module.play(pathlib.Path(__file__).resolve().parent, case, limit=100.0)
