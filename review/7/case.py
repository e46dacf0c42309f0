"""All nodes are killed after an upstream's departure was acknowledged."""

import asyncio
import pathlib

from review.lib2 import clients
from review.lib2 import deployment
from review.lib2 import runner
from review.lib2 import upstream

DRAIN_S = 2.5
CONTACT_S = 4.0
DOWN_S = 0.5
BEAT_LATE_S = 3.0
"""At least; the late heartbeat arrives once the nodes are ready again."""

SERVES_ON_S = 14.0
"""Time for which the upstream that leaves goes on serving."""


async def play(record, has_trouble):
    """Returns the requests that reached the upstream too late."""
    fleet = deployment.Deployment(["a", "a", "b"], record=record)
    upstreams = []
    try:
        await fleet.start(deployment.config(1, ["a", "b"]))
        for index, node in enumerate(fleet.nodes):
            server = upstream.Upstream(
                node=node, record=record, instance=f"i-{index}"
            )
            await server.start()
            upstreams.append(server)
        await fleet.until_ready()
        await asyncio.sleep(3.0)
        callers = clients.Clients(
            nodes=fleet.nodes, service="a", kind="idempotent", record=record
        )
        callers.start()
        await asyncio.sleep(2.0)
        return await _leave(record, fleet, upstreams[0], callers, has_trouble)
    finally:
        for server in upstreams:
            server.close()
        fleet.close()


async def _leave(record, fleet, leaver, callers, has_trouble):
    # The last heartbeat before the departure is under way for seconds.
    leaver.stop_beats()
    late_beat = leaver.document()
    made_s = record.now_s()
    await asyncio.sleep(0.2)
    status = await leaver.send("deregister", {"born": leaver.born_ms})
    acked_s = record.now_s()
    record.write("departure-acknowledged", status=status)
    if status != 200:
        raise deployment.CannotRunError(f"departure answered with {status}")
    await asyncio.sleep(0.3)
    if has_trouble:
        for node in fleet.nodes:
            node.kill()
        await asyncio.sleep(DOWN_S)
        for node in fleet.nodes:
            node.start()
        await fleet.until_ready()
    back_s = record.now_s()
    await asyncio.sleep(max(0.0, made_s + BEAT_LATE_S - record.now_s()))
    status = await leaver.send("heartbeat", late_beat)
    record.write("late-heartbeat", status=status)
    await asyncio.sleep(max(0.0, acked_s + SERVES_ON_S - record.now_s()))
    await callers.stop()
    from_s = acked_s + DRAIN_S
    if has_trouble:
        # All machines are in touch again.
        from_s = max(from_s, back_s + CONTACT_S)
    return [
        f"{attempt}, sent at {callers.sent_s[attempt]:.2f} s, reached"
        f" {leaver.instance} {ran_s - acked_s:.2f} s after its departure was"
        " acknowledged"
        for ran_s, attempt in leaver.runs
        if callers.sent_s[attempt] > from_s
    ]


if __name__ == "__main__":
    runner.run(pathlib.Path(__file__).parent, play)
