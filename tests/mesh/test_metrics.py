"""Tests of the metrics of a complete node."""

import asyncio
import re
import unittest

from galenatack.links import http_client
from galenatack.model import store_revision
from standins.mesh import operator_config
from tests.mesh import small_fleet

SAMPLE = re.compile(
    r'^galenatack_[a-z_]+(\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\})? \S+$'
)


async def read(member):
    """Returns a node's samples, keyed by name with labels."""
    client = http_client.HttpClient(
        address=member.settings.metrics_address,
        max_connections=1,
        connect_timeout_s=1.0,
        max_answer_bytes=1_000_000,
    )
    answer = await client.request("GET", "/metrics")
    await client.close()
    lines = answer.body.decode().splitlines()
    return dict(line.rsplit(" ", 1) for line in lines)


class TestMetrics(unittest.TestCase):
    def is_lost(self, member):
        """Restarts the watches; returns whether none follows the store."""
        for watcher in member.parts.watchers:
            watcher.restart_watch()
        return not any(w.is_following for w in member.parts.watchers)

    def test_a_refused_configuration_is_shown_although_versions_agree(self):
        """All nodes keep the version before, until a valid one is written."""

        async def main():
            async with small_fleet.SmallFleet("a") as fleet:
                (member,) = fleet.members
                config = member.parts.config
                fleet.store.operator_writes("op", "config", b'{"version": 2}')
                await fleet.until(lambda: config.is_newest_refused)
                refused = await read(member)
                valid = operator_config.config(3, ("a",))
                fleet.store.operator_writes("op", "config", valid)
                await fleet.until(lambda: config.version == 3)
                return refused, await read(member)

        samples = [
            after["galenatack_config_refused"] for after in asyncio.run(main())
        ]
        self.assertEqual(samples, ["1", "0"])

    def test_the_row_of_an_evacuation_is_shown(self):
        """The operator deletes a rewritten row once all nodes show it."""

        async def main():
            async with small_fleet.SmallFleet("a") as fleet:
                (member,) = fleet.members
                revision = store_revision.make(1, 12_345_678)
                member.parts.evacuations.begin("z", revision)
                return await read(member)

        name = "galenatack_evacuation_row"
        labels = '{data_centre="z",era="1",revision="12345678"}'
        self.assertEqual(asyncio.run(main())[name + labels], "1")

    def test_calls_and_the_store_are_counted(self):
        """Calls count by outcome and reason; each line is well formed."""

        async def main():
            async with small_fleet.SmallFleet("a", "b") as fleet:
                near, far = fleet.members
                await fleet.call(near, "b.example", "/idempotent/x")
                before = await read(far)
                fleet.store.faults.refused_nodes |= {"n0", "n1"}
                await fleet.until(lambda: self.is_lost(far))
                return before, await read(far)

        before, after = asyncio.run(main())
        for line in (f"{name} {value}" for name, value in before.items()):
            self.assertRegex(line, SAMPLE)
        gate = (
            'galenatack_calls_total{side="gate",outcome="answer",reason="2xx"}'
        )
        self.assertEqual(before[gate], "1")
        ran = (
            'galenatack_attempts_total{side="gate",service="b",kind="first",'
            'end="ran"}'
        )
        self.assertEqual(before[ran], "1")
        reads = 'galenatack_store_calls_total{kind="read",result="ok"}'
        self.assertGreaterEqual(float(before[reads]), 2)
        failed = (
            'galenatack_store_calls_total{kind="watch",'
            'result="platform-unavailable"}'
        )
        self.assertNotIn(failed, before)
        self.assertGreaterEqual(float(after[failed]), 1)
        followed = 'galenatack_store_followed{table="op"}'
        self.assertEqual((before[followed], after[followed]), ("1", "0"))
