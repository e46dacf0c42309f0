"""Tests of the store client against the stand-in over HTTP."""

import asyncio
import contextlib
import unittest
import unittest.mock

from galenatack import exceptions
from galenatack.model import row_change
from galenatack.model import store_revision
from galenatack.platform import store_table
from standins.platform import server
from standins.store import app
from standins.store import node_table
from tests.mesh import small_fleet


def run(scenario):
    """Runs a scenario with a store served over HTTP and a client."""

    async def main():
        store = node_table.SharedStore()
        address = small_fleet.free_addresses(1)[0]
        end = asyncio.Event()
        serving = asyncio.create_task(
            server.serve(
                address,
                application=app.StoreApp(store=store),
                shutdown_trigger=end.wait,
            )
        )
        table = store_table.StoreTable(address=address)
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(exceptions.PlatformUnavailableError):
                    await table.read("warm-up")
                    break
                await asyncio.sleep(0.02)
            await scenario(store, table)
        await table.close()
        end.set()
        await serving

    asyncio.run(main())


def write(key, value, *, expected=None):
    """Returns a change of one row."""
    conditions = () if expected is None else (("t", key, expected),)
    return row_change.RowChange(
        expected=conditions, writes=(("t", key, value),)
    )


class TestStoreTable(unittest.TestCase):
    def test_rows_are_written_read_watched_and_deleted(self):
        """A page has the revision of the last write."""

        async def scenario(store, table):
            first = await table.commit(write("a", b"\x00one"))
            page = await table.read("t")
            self.assertEqual(page.rows[0].value, b"\x00one")
            self.assertEqual(page.revision, first)
            watch = asyncio.create_task(
                table.watch("t", after=first, wait_s=5.0)
            )
            await asyncio.sleep(0.05)
            await table.commit(row_change.RowChange(deletes=(("t", "a"),)))
            changed = await watch
            self.assertTrue(changed.rows[0].is_deleted)

        run(scenario)

    def test_a_condition_admits_one_of_two_writers(self):
        """The other writer gets a conflict."""

        async def scenario(store, table):
            await table.commit(write("a", b"1", expected=0))
            with self.assertRaises(exceptions.TransactionConflictError):
                await table.commit(write("a", b"2", expected=0))

        run(scenario)

    def test_all_pages_are_read(self):
        """Each page starts after the last key of the previous one."""

        async def scenario(store, table):
            for number in range(1203):
                store.commit([], [("t", "", f"k{number:05}", b"v")], [])
            page = await table.read("t")
            self.assertEqual(len(page.rows), 1203)

        run(scenario)

    def test_faults_have_types(self):
        """Lost history, long or lost answers and an outage have own errors."""

        async def scenario(store, table):
            store.operator_writes("op", "config", b"1")
            store.rows.forget()
            with self.assertRaises(exceptions.HistoryLostError):
                await table.watch("op", after=0, wait_s=0.1)
            for _ in range(50):
                store.operator_writes("op", "config", bytes(65_536))
            with self.assertRaises(exceptions.PlatformAnswerLostError):
                await table.watch("op", after=1, wait_s=0.1)
            store.faults.lose_answers = 1
            with self.assertRaises(exceptions.OutcomeUnknownError):
                await table.commit(write("a", b"1"))
            self.assertEqual(len((await table.read("t")).rows), 1)
            store.faults.is_down = True
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await table.commit(write("a", b"1"))
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await table.read("t")

        run(scenario)

    def test_idle_connections_are_not_used_after_a_silent_one(self):
        """If all are dead, each would cost a timeout."""

        async def scenario(store, table):
            await asyncio.gather(*(table.read("t") for _ in range(3)))
            store.faults.is_deaf = True
            with self.assertRaises(exceptions.PlatformAnswerLostError):
                await table.watch("t", after=0, wait_s=0.0)
            self.assertEqual(table._client._pool._idle, [])

        with unittest.mock.patch.object(store_table, "WATCH_MARGIN_S", 0.2):
            run(scenario)

    def test_the_operators_rows_cannot_be_written(self):
        """The store refuses the write."""

        async def scenario(store, table):
            change = row_change.RowChange(writes=(("op", "config", b"x"),))
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await table.commit(change)

        run(scenario)


class TestRestoredStore(unittest.TestCase):
    def test_a_revision_of_a_former_era_is_no_base_for_reads_and_writes(self):
        """Its number has been given to another row meanwhile."""

        async def scenario(store, table):
            copied = store.rows.copy()
            lost = await table.commit(write("a", b"lost"))
            store.restore(copied)
            again = store.operator_writes("t", "a", b"other")
            self.assertEqual(store_revision.number(lost), again)
            with self.assertRaises(exceptions.OutcomeUnknownError):
                await table.commit(
                    write("a", b"by the old holder", expected=lost)
                )
            with self.assertRaises(exceptions.HistoryLostError):
                await table.watch("t", after=lost, wait_s=0.0)
            page = await table.read("t")
            self.assertGreater(page.rows[0].revision, lost)
            with self.assertRaises(exceptions.TransactionConflictError):
                await table.commit(write("a", b"again", expected=lost))

        run(scenario)
