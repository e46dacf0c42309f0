"""Tests of the quarantined requests in the store."""

import asyncio
import random
import unittest
from unittest import mock

from galenatack.model import crash_entry
from galenatack.quarantine import crash_archive
from galenatack.quarantine import crash_ledger
from galenatack.quarantine import crash_reports
from standins.store import node_table
from tests.fakes import virtual_loop

FINGERPRINT = b"0123456789abcdef"
CRASHES = tuple(
    crash_entry.CrashEntry(FINGERPRINT, f"{number}", 0, number > 0, False)
    for number in range(crash_ledger.QUARANTINE_CRASHES)
)


class TestCrashArchive(unittest.TestCase):
    def setUp(self):
        self.store = node_table.SharedStore()
        self.clock = virtual_loop.LoopClock()

    async def start_node(self):
        """Starts a node that knows nothing yet."""
        ledger = crash_ledger.CrashLedger(clock=self.clock)
        archive = crash_archive.CrashArchive(
            ledger=ledger,
            table=node_table.NodeTable(store=self.store, node_id="n"),
            clock=self.clock,
            rng=random.Random(1),
        )
        peers = mock.Mock(broadcast=mock.AsyncMock())
        reports = crash_reports.CrashReports(
            ledger=ledger, archive=archive, peers=peers
        )
        task = asyncio.create_task(archive.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(1.0)
        return ledger, reports

    def test_a_quarantine_outlasts_a_restart_of_all_nodes(self):
        async def main():
            _, reports = await self.start_node()
            self.store.faults.is_down = True
            await reports.add(CRASHES)
            await asyncio.sleep(1.0)
            self.store.faults.is_down = False
            await asyncio.sleep(5.0)
            ledger, reports = await self.start_node()
            self.assertGreater(ledger.refusal_ms(FINGERPRINT), 590_000)
            await reports.clear(FINGERPRINT)
            await asyncio.sleep(1.0)
            ledger, _ = await self.start_node()
            self.assertEqual(len(ledger), 0)

        virtual_loop.run(main)

    def test_a_row_that_has_expired_is_deleted(self):
        async def main():
            _, reports = await self.start_node()
            await reports.add(CRASHES)
            await asyncio.sleep(crash_ledger.EXPIRY_S + 1)
            ledger, _ = await self.start_node()
            self.assertEqual(len(ledger), 0)
            rows, _ = self.store.rows.range(crash_archive.TABLE, "", "", 10)
            self.assertEqual(rows, [])

        virtual_loop.run(main)
