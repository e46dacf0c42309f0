"""Tests of how current the keys of nodes are, with and without the store."""

import asyncio
import unittest
import unittest.mock

from galenatack import exceptions
from galenatack.tenants import freshness_terms
from galenatack.tenants import key_freshness
from standins.store import node_table
from tests.fakes import manual_clock
from tests.tenants import freshness_fleet

MAX_AGE_S = freshness_fleet.TERMS.max_age_s
FAR = (0.05, 0.08)


class TestKeyFreshness(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.version = 4
        self.freshness = key_freshness.KeyFreshness(
            clock=self.clock,
            max_age_s=2.5,
            own_version=lambda: self.version,
        )

    def is_refusing(self):
        try:
            self.freshness.check()
        except exceptions.KeysOutdatedError as error:
            self.assertGreater(error.retry_after_ms, 0)
            return True
        return False

    def test_a_node_that_has_just_started_accepts_no_keys(self):
        """Its rows may come from a peer that is cut off itself."""
        self.assertTrue(self.is_refusing())

    def test_a_peer_counts_only_once_its_version_runs_here(self):
        """The key may have been taken away by the version that is missing."""
        self.freshness.hear(0.0, 5)
        self.assertTrue(self.is_refusing())
        self.version = 5
        self.assertFalse(self.is_refusing())

    def test_a_late_reply_does_not_make_keys_look_fresh(self):
        """A paused process reads replies that are long out of date."""
        self.freshness.confirm(0.0)
        self.clock.advance(10.0)
        self.freshness.hear(0.3, 4)
        self.assertTrue(self.is_refusing())

    def test_the_age_counts_from_the_latest_time_heard(self):
        """Replies may overtake each other."""
        self.clock.advance(2.0)
        self.freshness.hear(2.0, 4)
        self.freshness.hear(0.5, 4)
        self.clock.advance(2.4)
        self.assertFalse(self.is_refusing())

    def test_the_usable_time_leaves_room_for_the_chain(self):
        """Otherwise nodes would refuse keys on a calm day."""
        for revoke_ms in (3000, 5000, 20_000):
            terms = freshness_terms.of(revoke_ms)
            chain_s = 2 * terms.watch_s + terms.pause_s + 2 * terms.ask_s
            self.assertLess(chain_s, 0.9 * terms.max_age_s)
            # Callers are owed answers for 0.6 of the limit; beyond it, keys
            # that were taken away would be accepted.
            self.assertGreater(terms.max_age_s, 0.6 * revoke_ms / 1000)
            self.assertLess(terms.max_age_s, 0.9 * revoke_ms / 1000)


class TestFreshnessExchange(unittest.TestCase):
    def test_nodes_accept_keys_on_a_calm_day_with_changes(self):
        """The chain from the store to each node must be fast enough."""

        async def scenario(fleet):
            for version in range(2, 12):
                fleet.write(version)
                self.assertEqual(await fleet.play(1.3), set())

        freshness_fleet.run(scenario, delay_s=FAR)

    def test_a_region_that_is_cut_off_refuses_and_comes_back(self):
        """It cannot know that a key was taken away."""

        async def scenario(fleet):
            own = {name for name in fleet.nodes if name[0] == "b"}
            fleet.cut_region("b")
            fleet.store.faults.refused_nodes |= own
            fleet.write(2)
            await fleet.play(MAX_AGE_S + 0.1)
            self.assertEqual(fleet.serving(), set(fleet.nodes) - own)
            self.assertEqual(await fleet.play(3.0), own)
            fleet.network.heal()
            await fleet.play(1.5)
            self.assertEqual(fleet.serving(), set(fleet.nodes))

        freshness_fleet.run(scenario)

    def test_a_region_without_the_store_is_served_by_way_of_the_other(self):
        """Only its own way is lost; requests there are owed."""

        async def scenario(fleet):
            fleet.store.faults.silent_nodes |= {"b0", "b1"}
            for version in range(2, 8):
                fleet.write(version)
                self.assertEqual(await fleet.play(2.0), set())

        freshness_fleet.run(scenario, delay_s=FAR)

    def test_nobody_accepts_keys_long_after_the_store_is_lost(self):
        """Nodes must not confirm each other in a circle."""

        async def scenario(fleet):
            fleet.store.faults.is_down = True
            fleet.write(2)
            await fleet.play(MAX_AGE_S + 0.2)
            self.assertEqual(fleet.serving(), set())
            await fleet.play(5.0)
            self.assertEqual(fleet.serving(), set())
            fleet.store.faults.is_down = False
            await fleet.play(3.0)
            self.assertEqual(fleet.serving(), set(fleet.nodes))

        freshness_fleet.run(scenario)

    def test_answers_of_a_slow_store_count_from_their_request(self):
        """An answer that was 2.6 s under way may be 2.6 s old."""

        async def scenario(fleet):
            fleet.store.faults.slow_s = MAX_AGE_S + 0.1
            await fleet.play(4.0)
            self.assertEqual(fleet.serving(), set())
            await fleet.play(10.0)
            self.assertEqual(fleet.serving(), set())

        freshness_fleet.run(scenario)

    def test_reads_that_lag_after_a_lost_history_confirm_nothing(self):
        """The read lacks the change although it names the newest revision."""

        async def scenario(fleet):
            lagging = fleet.store.rows.copy()
            with unittest.mock.patch.object(
                node_table.NodeTable,
                "watch",
                side_effect=exceptions.HistoryLostError("gone"),
            ):
                # Watches that began before have ended by then.
                await asyncio.sleep(freshness_fleet.TERMS.watch_s)
                fleet.store.faults.lagging_rows = lagging
                fleet.write(2)
                await fleet.play(0.5)
            # A read lags for some seconds; the last one comes after 7 s.
            await fleet.play(5.5)
            self.assertEqual(fleet.serving(), set())
            fleet.store.faults.lagging_rows = None
            await fleet.play(3.0)
            self.assertEqual(fleet.serving(), set(fleet.nodes))

        freshness_fleet.run(scenario)

    def test_a_reply_counts_from_its_question(self):
        """It may have waited in a buffer since it was sent."""

        async def scenario(fleet):
            ask = fleet.network.ask

            async def delay(sender, receiver, message, timeout_s):
                reply = await ask(sender, receiver, message, timeout_s)
                await asyncio.sleep(MAX_AGE_S)
                return reply

            fleet.network.ask = delay
            await fleet.play(3 * MAX_AGE_S)
            self.assertEqual(fleet.serving(), {"a0", "a1", "b0", "b1"})

        freshness_fleet.run(scenario)

    def test_a_calm_node_asks_one_other_node_at_a_time(self):
        """Questions are the price of strict revoking at each node."""

        async def scenario(fleet):
            asked = []
            ask = fleet.network.ask

            async def count(sender, receiver, message, timeout_s):
                asked.append(sender)
                return await ask(sender, receiver, message, timeout_s)

            fleet.network.ask = count
            await fleet.play(10.0)
            self.assertLess(len(asked) / len(fleet.nodes) / 10.0, 4.0)
            self.assertFalse({"a0", "a1", "b0", "b1"} & set(asked))

        freshness_fleet.run(scenario)
