"""Tests of crowds at a node that joins or stops.

They guard against a process that ends early or not at all, and against a
refused request that runs: its client sends it again.
"""

import asyncio
import contextlib
import signal
import unittest

from tests.clients import answers
from tests.clients import besieged_node

MEMORY_MB = 110
CONNECTIONS = 40
PIPELINED = 40
ROUNDS = 6
SILENCE_S = 3.0
PAUSE_S = 0.2
WORK_S = 0.02
POST = (
    b"POST /non_idempotent/x HTTP/1.1\r\nhost: a.example\r\n"
    b"x-attempt-id: %s\r\ncontent-length: 2\r\n\r\nab"
)


class Ledger:
    """Sends postings with identifiers of their own and keeps the answers.

    Attributes:
        refused: Identifiers of requests whose answer says that they never run.
        answered: Number of answers.
    """

    def __init__(self):
        self.refused = set()
        self.answered = 0
        self._sent = 0

    async def send(self, node):
        """Sends on new connections and reads the answers."""
        sockets = await node.connect(CONNECTIONS)
        await asyncio.gather(*(self._ask(node, sock) for sock in sockets))

    async def _ask(self, node, sock):
        names = []
        for _ in range(PIPELINED):
            self._sent += 1
            names.append(f"r{self._sent}")
        await node.send(
            [sock], b"".join(POST % name.encode() for name in names)
        )
        found = answers.statuses(await answers.read(sock, silence_s=SILENCE_S))
        self.answered += len(found)
        for name, status in zip(names, found, strict=False):
            if status in answers.NOT_RUN:
                self.refused.add(name)

    async def send_rounds(self, node):
        """Sends until the node takes no connection, some rounds at most."""
        for _ in range(ROUNDS):
            with contextlib.suppress(OSError):
                await self.send(node)

    def check(self, test, node):
        """Checks that no refused request has run."""
        test.assertGreater(self.answered, 0)
        test.assertEqual(self.refused & set(node.target.ran), set())


async def start_crowd(ledger, node):
    """Sends without waiting for the answers; returns the tasks."""
    tasks = []
    for _ in range(ROUNDS):
        tasks.append(asyncio.create_task(ledger.send(node)))
        await asyncio.sleep(PAUSE_S)
    return tasks


class TestChangingNode(unittest.TestCase):
    def test_crowd_at_a_node_that_joins(self):
        """It has no configuration and no target yet."""

        async def main():
            ledger = Ledger()
            tasks = []

            async def press(node):
                tasks.extend(await start_crowd(ledger, node))

            async with besieged_node.BesiegedNode(
                memory_mb=MEMORY_MB, on_listening=press
            ) as node:
                await asyncio.gather(*tasks)
                await node.check(self)
                ledger.check(self, node)

        asyncio.run(main())

    def test_crowd_at_a_node_that_stops(self):
        """It ends, although clients go on sending until it is gone."""

        async def main():
            ledger = Ledger()
            async with besieged_node.BesiegedNode(memory_mb=MEMORY_MB) as node:
                node.target.work_s = WORK_S
                tasks = [asyncio.create_task(ledger.send_rounds(node))]
                await asyncio.sleep(PAUSE_S)
                high_kib = node.high_kib()
                node.process.signal(signal.SIGTERM)
                tasks += await start_crowd(ledger, node)
                with contextlib.suppress(FileNotFoundError):
                    high_kib = node.high_kib() or high_kib
                self.assertEqual(await node.wait_ended(), 0)
                self.assertLess(high_kib / 1024, MEMORY_MB)
                await asyncio.gather(*tasks)
                ledger.check(self, node)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
