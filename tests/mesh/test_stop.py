"""Tests of the graceful stop of a complete node."""

import asyncio
import unittest

from galenatack.settings import fleet_bounds
from tests.mesh import small_fleet

GRACE_MS = 4500
WORK_S = 1.8
LATE_S = 2.15
"""Callers have been sent elsewhere, and new connections are still taken."""

UPLOAD = (
    b"PUT /non_idempotent/u HTTP/1.1\r\nHost: b.example\r\n"
    b"X-Attempt-Id: upload\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\n"
)


async def upload_slowly(member):
    """Sends half of a request, the rest once the node reads no more."""
    host, _, port = member.settings.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(UPLOAD + b"x")
    await asyncio.sleep(0.5)
    writer.write(b"y")
    answer = await reader.read()
    writer.close()
    return int(answer.split(b" ")[1]) if answer else "no answer"


class TestStop(unittest.TestCase):
    def test_a_planned_stop_cuts_no_call(self):
        """All calls through a stopping node or to its target are answered."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "b") as fleet:
                near, leaving, _ = fleet.members
                for member in fleet.members:
                    member.target.work_s = 0.15
                statuses = []
                stop = asyncio.Event()

                async def call_on(member, path):
                    while not stop.is_set():
                        try:
                            answer = await fleet.call(
                                member, "b.example", path, method="PUT"
                            )
                        except Exception as error:
                            statuses.append(repr(error))
                        else:
                            statuses.append(answer.status)
                        await asyncio.sleep(0.02)

                async with asyncio.TaskGroup() as tasks:
                    for _ in range(4):
                        tasks.create_task(call_on(near, "/non_idempotent/x"))
                    own = tasks.create_task(
                        call_on(leaving, "/non_idempotent/y")
                    )
                    await asyncio.sleep(0.5)
                    leaving.node.request_stop()
                    await asyncio.sleep(0.1)
                    ready = await fleet.ask_ready(leaving)
                    self.assertEqual(ready, 503)
                    await asyncio.sleep(2.2)
                    # Callers have been sent elsewhere by now.
                    own.cancel()
                    await asyncio.wait_for(leaving.task, 4.0)
                    stop.set()
                self.assertGreater(len(statuses), 50)
                self.assertEqual(set(statuses), {200})

        asyncio.run(main())

    def test_postings_that_a_stop_would_cut_are_refused(self):
        """A posting read late in the grace time was run and got no answer."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "b") as fleet:
                near, *others = fleet.members
                near.node.apply(
                    near.settings._replace(
                        bounds=fleet_bounds.FleetBounds(grace_ms=GRACE_MS)
                    )
                )
                for member in others:
                    member.target.work_s = WORK_S

                async def post(attempt):
                    try:
                        answer = await fleet.call(
                            near,
                            "b.example",
                            "/non_idempotent/x",
                            method="PUT",
                            attempt=attempt,
                            deadline_ms=2000,
                        )
                    except Exception as error:
                        return repr(error)
                    return answer.status

                near.node.request_stop()
                await fleet.until(
                    lambda: near.parts.members.own.status == "leaving"
                )
                async with asyncio.TaskGroup() as tasks:
                    early = tasks.create_task(post(b"early"))
                    await asyncio.sleep(LATE_S)
                    late = tasks.create_task(post(b"late"))
                    upload = tasks.create_task(upload_slowly(near))
                self.assertEqual(early.result(), 200)
                self.assertEqual(late.result(), 503)
                self.assertEqual(upload.result(), 503)
                ran = {id for other in others for id in other.target.ran}
                self.assertFalse(ran & {"late", "upload"})
                await asyncio.wait_for(near.task, 2.0)

        asyncio.run(main())
