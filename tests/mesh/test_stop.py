"""Tests of the graceful stop of a complete node."""

import asyncio
import unittest

from tests.mesh import small_fleet


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
