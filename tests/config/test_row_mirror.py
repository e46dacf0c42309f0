"""Tests of mirrored rows, and of following the store during its faults."""

import asyncio
import random
import unittest
import unittest.mock

from galenatack import exceptions
from galenatack.config import row_mirror
from galenatack.config import table_watcher
from galenatack.model import store_revision
from galenatack.model import table_page
from galenatack.model import table_row
from standins.store import node_table
from tests.fakes import virtual_loop

TABLES = ("op", "rollouts")


def row(key, revision, *, table="op", value=b"v", is_deleted=False):
    """Returns a row."""
    return table_row.TableRow(table, key, value, revision, is_deleted)


class TestRowMirror(unittest.TestCase):
    def setUp(self):
        self.mirror = row_mirror.RowMirror(tables=TABLES)
        self.changes = []
        self.mirror.subscribe(self.changes.extend)

    def test_an_older_row_never_replaces_a_newer_one(self):
        """The newest row is kept when updates arrive out of order."""
        self.mirror.apply([row("config", 7)])
        self.assertEqual(self.mirror.apply([row("config", 5)]), ())
        self.assertEqual([item.revision for item in self.changes], [7])

    def test_a_whole_table_deletes_the_rows_that_it_lacks(self):
        """After a loss of history, missing rows count as deleted."""
        self.mirror.apply([row("a", 3), row("b", 4)])
        self.mirror.replace("op", table_page.TablePage((row("a", 3),), 9))
        self.assertTrue(self.changes[-1].is_deleted)
        self.assertEqual(self.changes[-1].key, "b")

    def test_a_row_that_is_newer_than_the_page_is_kept(self):
        """A page does not revert a change made after it was read."""
        self.mirror.apply([row("b", 12)])
        self.mirror.replace("op", table_page.TablePage((), 9))
        self.assertFalse(self.changes[-1].is_deleted)

    def test_what_a_restored_store_lost_is_handed_on_until_written_again(self):
        """Also if it was restored twice, from ever older copies."""
        lost = row("config", 9, value=b"newest")
        self.mirror.apply([row("config", 7), lost])
        for era, rows in (
            (1, (row("config", store_revision.make(1, 7)),)),
            (2, ()),
        ):
            revision = store_revision.make(era, 8)
            self.mirror.replace("op", table_page.TablePage(rows, revision))
            started = row_mirror.RowMirror(tables=TABLES)
            started.apply(rows)
            handed_on = self.mirror.since((0, 0))
            self.assertIn(lost, handed_on)
            started.apply(handed_on)
            self.assertIn(lost, started.since((0, 0)))
        again = lost._replace(revision=store_revision.make(2, 10))
        self.mirror.apply([again])
        self.assertEqual(self.mirror.since((0, 0)), (again,))

    def test_a_peer_gets_newer_rows(self):
        """Revisions are compared separately for each table."""
        self.mirror.apply([row("a", 3), row("s", 5, table="rollouts")])
        self.assertEqual(self.mirror.revisions, (3, 5))
        newer = self.mirror.since((3, 0))
        self.assertEqual([item.key for item in newer], ["s"])
        self.assertTrue(self.mirror.is_behind((3, 6)))
        self.assertFalse(self.mirror.is_behind((2, 5)))

    def test_a_table_that_is_not_mirrored_is_ignored(self):
        """A peer of another release may mirror more tables."""
        self.assertEqual(self.mirror.apply([row("x", 1, table="other")]), ())


CONFIG_S = 2.5
"""Time until an accepted configuration is in force on all nodes."""


class TestTableWatcher(unittest.TestCase):
    def setUp(self):
        self.should_follow = True
        self.on_change_calls = 0

    async def on_change(self):
        self.on_change_calls += 1

    def follow(self, scenario, **options):
        """Runs a scenario beside a watcher of the table `op`."""

        async def main():
            store = node_table.SharedStore()
            mirror = row_mirror.RowMirror(tables=("op",))
            watcher = table_watcher.TableWatcher(
                name="op",
                table=node_table.NodeTable(store=store, node_id="n"),
                mirror=mirror,
                clock=virtual_loop.LoopClock(),
                rng=random.Random(1),
                should_follow=lambda: self.should_follow,
                on_change=self.on_change,
                **{"watch_s": 1.0, **options},
            )
            task = asyncio.create_task(watcher.run())
            await scenario(store, mirror, watcher)
            task.cancel()

        virtual_loop.run(main)

    def test_a_claim_is_withdrawn_when_the_store_refuses(self):
        """An elected node claims to follow before the store has answered."""

        async def scenario(store, mirror, watcher):
            store.faults.is_down = True
            await asyncio.sleep(0.5)
            self.assertFalse(watcher.is_healthy)
            self.assertEqual(self.on_change_calls, 2)

        self.follow(scenario)

    def test_a_claim_is_withdrawn_when_another_node_follows(self):
        """Its record would name a follower that does not exist."""

        async def scenario(store, mirror, watcher):
            store.faults.silent_nodes.add("n")
            await asyncio.sleep(0.5)
            self.assertEqual(self.on_change_calls, 1)
            self.should_follow = False
            watcher.stop_if_not_elected()
            await asyncio.sleep(0.2)
            self.assertEqual(self.on_change_calls, 2)

        self.follow(scenario)

    def test_many_missed_versions_do_not_keep_a_node_on_an_old_row(self):
        """All of them are too long an answer to each watch."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(1.0)
            lost = exceptions.PlatformAnswerLostError("answer too large")
            with unittest.mock.patch.object(
                watcher._table, "watch", side_effect=lost
            ):
                # The watch that began before has ended by then.
                await asyncio.sleep(2.0)
                newest = store.operator_writes("op", "config", b"new")
                await asyncio.sleep(CONFIG_S)
            self.assertEqual(mirror.revision("op"), newest)

        self.follow(scenario)

    def test_refused_watches_cost_no_whole_tables(self):
        """A refusal does not say that the answer would be too long."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(2.0)
            reads = store.calls["n", "read"]
            store.faults.refused_nodes = {"n"}
            await asyncio.sleep(10.0)
            store.faults.refused_nodes = set()
            await asyncio.sleep(2.0)
            self.assertEqual(store.calls["n", "read"], reads)

        self.follow(scenario)

    def test_a_silent_store_is_asked_both_ways(self):
        """It may answer watches again, but not reads."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(2.0)
            before = dict(store.calls)
            store.faults.silent_nodes = {"n"}
            await asyncio.sleep(20.0)
            for kind in ("read", "watch"):
                calls = store.calls["n", kind] - before["n", kind]
                self.assertGreater(calls, 2, kind)

        self.follow(scenario)

    def test_lost_watches_between_good_reads_are_not_repeated_quickly(self):
        """Each read is a whole table."""

        async def scenario(store, mirror, watcher):
            watch = watcher._table.watch
            for longest_s in (-1.0, 0.0):
                await asyncio.sleep(5.0)
                reads = store.calls["n", "read"]

                async def lose(name, *, after, wait_s, longest_s=longest_s):
                    if wait_s > longest_s:
                        raise exceptions.PlatformAnswerLostError("reset")
                    return await watch(name, after=after, wait_s=wait_s)

                with unittest.mock.patch.object(watcher._table, "watch", lose):
                    await asyncio.sleep(30.0)
                self.assertLess(store.calls["n", "read"] - reads, 100)

        self.follow(scenario)

    def test_reads_do_not_hide_that_watches_get_no_answer(self):
        """Other nodes take over from one that does not claim to follow."""

        async def scenario(store, mirror, watcher):
            async def stay_silent(name, *, after, wait_s):
                await asyncio.sleep(wait_s + node_table.LOST_S)
                raise exceptions.PlatformAnswerLostError("no answer")

            await asyncio.sleep(2.0)
            self.assertTrue(watcher.is_following)
            with unittest.mock.patch.object(
                watcher._table, "watch", stay_silent
            ):
                await asyncio.sleep(5.0)
                for _ in range(100):
                    await asyncio.sleep(0.1)
                    self.assertFalse(watcher.is_following)
            await asyncio.sleep(CONFIG_S)
            self.assertTrue(watcher.is_following)

        self.follow(scenario)

    def test_a_stale_read_after_a_lost_history_hides_no_change(self):
        """Its revision was the newest, so no watch returned the change."""

        async def scenario(store, mirror, watcher):
            for key in ("kept", "deleted"):
                store.operator_writes("op", key, b"old")
            await asyncio.sleep(2.0)
            lagging = store.rows.copy()
            store.operator_writes("op", "kept", b"new")
            store.operator_writes("op", "added", b"new")
            store.commit([], [], [("op", "", "deleted")])
            store.rows.forget()
            store.faults.lagging_rows = lagging
            await asyncio.sleep(3.0)
            store.faults.lagging_rows = None
            await asyncio.sleep(CONFIG_S)
            found = {r.key: r.value for r in mirror.since((0,))}
            self.assertEqual(found["kept"], b"new")
            self.assertEqual(found["added"], b"new")
            await asyncio.sleep(10.0)
            found = {r.key for r in mirror.since((0,)) if not r.is_deleted}
            self.assertEqual(found, {"kept", "added"})

        self.follow(scenario)

    def test_a_stale_read_after_a_lost_watch_hides_no_change(self):
        """The answer with the changes was lost, and the read lacks them."""

        async def scenario(store, mirror, watcher):
            for key in ("kept", "deleted"):
                store.operator_writes("op", key, b"old")
            await asyncio.sleep(2.0)
            lagging = store.rows.copy()
            lost = exceptions.PlatformAnswerLostError("connection reset")
            with unittest.mock.patch.object(
                watcher._table, "watch", side_effect=lost
            ):
                # The watch that began before has ended by then.
                await asyncio.sleep(1.1)
                store.faults.lagging_rows = lagging
                store.operator_writes("op", "kept", b"new")
                added = store.operator_writes("op", "added", b"new")
                # A peer may have sent one of the rows.
                mirror.apply([row("added", added, value=b"new")])
                store.commit([], [], [("op", "", "deleted")])
                await asyncio.sleep(2.0)
            await asyncio.sleep(CONFIG_S)
            found = {
                r.key: r.value for r in mirror.since((0,)) if not r.is_deleted
            }
            self.assertEqual(found, {"kept": b"new", "added": b"new"})

        self.follow(scenario)

    def test_changes_arrive_one_after_the_other(self):
        """Each write is mirrored at once."""

        async def scenario(store, mirror, watcher):
            for number in range(1, 5):
                store.operator_writes("op", "config", b"%d" % number)
                await asyncio.sleep(0.05)
                self.assertEqual(mirror.revisions, (number,))
            self.assertTrue(watcher.is_healthy)

        self.follow(scenario)

    def test_a_burst_of_changes_is_read_in_few_calls(self):
        """Changes in quick succession are read together."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(1.0)
            before = sum(store.calls.values())
            for number in range(30):
                store.operator_writes("op", "config", b"%d" % number)
                await asyncio.sleep(0.18)
            await asyncio.sleep(0.6)
            self.assertEqual(mirror.revisions, (30,))
            self.assertLess(sum(store.calls.values()) - before, 14)

        self.follow(scenario, min_interval_s=0.5)

    def test_a_burst_transfers_few_versions_of_a_row(self):
        """A watch would return every version and overload the links."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(1.0)
            received = []
            store_table = watcher._table
            for name in ("read", "watch"):
                call = getattr(store_table, name)

                async def count(*args, call=call, **options):
                    page = await call(*args, **options)
                    received.extend(page.rows)
                    return page

                setattr(store_table, name, count)
            for number in range(60):
                store.operator_writes("op", "config", b"%d" % number)
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.2)
            self.assertEqual(mirror.revisions, (60,))
            # One row each half second, and those of the second response.
            self.assertLess(len(received), 22)
            store.operator_writes("op", "config", b"last")
            await asyncio.sleep(0.1)
            self.assertEqual(mirror.revisions, (61,))

        self.follow(scenario, min_interval_s=0.5)

    def test_a_restarted_watch_sends_a_new_request(self):
        """A watch that may have stalled is replaced by a new one."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(1.0)
            before = sum(store.calls.values())
            watcher.restart_watch()
            await asyncio.sleep(0.1)
            self.assertEqual(sum(store.calls.values()) - before, 1)
            store.operator_writes("op", "config", b"1")
            await asyncio.sleep(0.1)
            self.assertEqual(mirror.revisions, (1,))

        self.follow(scenario)

    def test_rows_are_current_two_seconds_after_an_outage(self):
        """A row written during the outage is mirrored."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(0.1)
            store.faults.is_down = True
            store.operator_writes("op", "config", b"1")
            await asyncio.sleep(7.0)
            self.assertFalse(watcher.is_healthy)
            store.faults.is_down = False
            await asyncio.sleep(2.0)
            self.assertEqual(mirror.revisions, (1,))

        self.follow(scenario)

    def test_the_table_is_read_again_after_a_loss_of_history(self):
        """A watch from a revision that is too old rereads the table."""

        async def scenario(store, mirror, watcher):
            store.operator_writes("op", "config", b"1")
            store.operator_writes("op", "rollout/s", b"2")
            await asyncio.sleep(0.1)
            store.faults.is_down = True
            await asyncio.sleep(1.0)
            store.commit([], [], [("op", "", "rollout/s")])
            store.operator_writes("op", "config", b"3")
            store.rows.forget()
            store.faults.is_down = False
            await asyncio.sleep(2.0)
            self.assertEqual(mirror.revisions, (4,))
            gone = [item for item in mirror.since((0,)) if item.is_deleted]
            self.assertEqual([item.key for item in gone], ["rollout/s"])

        self.follow(scenario)

    def test_an_outage_costs_few_calls(self):
        """Refused calls are billed as well."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(0.1)
            store.faults.is_down = True
            store.operator_writes("op", "x", b"")
            before = sum(store.calls.values())
            await asyncio.sleep(10.0)
            self.assertLess(sum(store.calls.values()) - before, 60)

        self.follow(scenario)

    def test_a_node_that_is_not_elected_does_not_call_the_store(self):
        """Once elected, it follows from the newest row of its peers."""

        async def scenario(store, mirror, watcher):
            store.operator_writes("op", "config", b"1")
            await asyncio.sleep(1.0)
            self.assertTrue(watcher.is_following)
            self.should_follow = False
            watcher.stop_if_not_elected()
            await asyncio.sleep(0.2)
            self.assertFalse(watcher.is_following)
            before = dict(store.calls)
            revision = store.operator_writes("op", "config", b"2")
            await asyncio.sleep(5.0)
            self.assertEqual(dict(store.calls), before)
            self.assertEqual(mirror.revisions, (1,))
            mirror.apply([row("config", revision)])
            self.should_follow = True
            await asyncio.sleep(0.3)
            self.assertTrue(watcher.is_following)
            self.assertEqual(store.calls["n", "read"], 1)

        self.follow(scenario)

    def test_a_follower_refused_by_the_store_is_noticed_soon(self):
        """Nodes are passive only if the store responds to the follower."""

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(0.2)
            self.assertTrue(watcher.is_following)
            store.faults.refused_nodes.add("n")
            watcher.restart_watch()
            await asyncio.sleep(0.6)
            watcher.restart_watch()
            await asyncio.sleep(0.1)
            self.assertFalse(watcher.is_following)

        self.follow(scenario)

    def test_on_change_is_called_once_for_each_response(self):
        """The callback announces to the neighbours at once.

        It announces that this node is elected, that it follows, and the rows.
        """

        async def scenario(store, mirror, watcher):
            await asyncio.sleep(0.1)
            self.assertEqual(self.on_change_calls, 2)
            store.operator_writes("op", "config", b"1")
            await asyncio.sleep(0.1)
            self.assertEqual(self.on_change_calls, 3)

        self.follow(scenario)
