"""Tests of the limit on inbound connections."""

import unittest
import unittest.mock

import anyio

from galenatack.links import inbound_limit
from tests.fakes import virtual_run


class TestInboundLimit(unittest.TestCase):
    def test_limit(self):
        """Connections above the limit are aborted, until another one closes."""

        async def main():
            release = anyio.Event()
            served = []

            async def on_accepted(connection):
                served.append(connection)
                await release.wait()

            limit = inbound_limit.InboundLimit(on_accepted, max_connections=2)
            dialled = [unittest.mock.Mock() for _ in range(4)]
            async with anyio.create_task_group() as tasks:
                for connection in dialled[:2]:
                    tasks.start_soon(limit, connection)
                await anyio.sleep(1)
                with self.assertLogs("galenatack.links", "WARNING") as logs:
                    await limit(dialled[2])
                    await limit(dialled[2])
                release.set()
            await limit(dialled[3])
            cut = [c.transport.abort.called for c in dialled]
            return cut, served == [*dialled[:2], dialled[3]], len(logs.output)

        cut, is_served, lines = virtual_run.run(main, seed=1)
        self.assertEqual(cut, [False, False, True, False])
        self.assertTrue(is_served)
        self.assertEqual(lines, 1)
