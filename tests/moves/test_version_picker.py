"""Tests of the choice between the versions of a move."""

import random
import unittest

from galenatack.messages import withdraw
from galenatack.model import move_state
from galenatack.moves import version_picker
from galenatack.moves import withdrawals
from tests.fakes import event_list
from tests.fakes import manual_clock
from tests.fakes import memory_network
from tests.fakes import virtual_run

COUNTS = {"v1": 4, "v2": 4}


def make_move(clock, **changes):
    """Returns a running move of 10 minutes."""
    now_ms = clock.wall_ms()
    return move_state.MoveState(
        "m1",
        "prices",
        "v1",
        "v2",
        now_ms,
        now_ms + 600_000,
        "running",
        50,
        1,
        0,
    )._replace(**changes)


class TestVersionPicker(unittest.TestCase):
    def setUp(self):  # noqa: D102
        self.clock = manual_clock.ManualClock()
        network = memory_network.MemoryNetwork(None, rng=random.Random(1))
        self.withdrawals = withdrawals.Withdrawals(
            clock=self.clock,
            peers=network.join("n1"),
            events=event_list.EventList(),
        )
        self.picker = version_picker.VersionPicker(
            clock=self.clock,
            rng=random.Random(2),
            withdrawals=self.withdrawals,
        )

    def picks(self, move, calls, *, step_s=0.01):
        """Returns the versions of `calls` calls."""
        versions = []
        for _ in range(calls):
            self.clock.advance(step_s)
            versions.append(self.picker.pick(move, COUNTS))
        return versions

    def test_two_services_move_side_by_side(self):
        """Guards against a move that resets the counts of another one."""
        first = make_move(self.clock)
        second = first._replace(move_id="m2", service="stock")
        versions = []
        for _ in range(5_000):
            versions += self.picks(first, 1, step_s=0.005)
            versions += self.picks(second, 1, step_s=0.005)
        self.assertGreater(versions[::2].count("v2"), 150)
        self.assertGreater(versions[1::2].count("v2"), 150)

    def test_cap_over_every_prefix(self):
        """At most 5% of any prefix of the calls go to the new version."""
        versions = self.picks(make_move(self.clock), 50_000)
        new = 0
        for number, version in enumerate(versions, start=1):
            new += version == "v2"
            self.assertLessEqual(new * 1000, number * 50)
        self.assertGreater(new * 1000, len(versions) * 45)

    def test_bursts_reach_normal_load(self):
        """Within a burst the active target gets a quarter of the calls."""
        versions = self.picks(make_move(self.clock), 50_000)
        highest = max(
            versions[at : at + 100].count("v2") for at in range(0, 49_000, 100)
        )
        self.assertGreaterEqual(highest, 20)

    def test_later_step_follows_share(self):
        """A cleared version gets the share of its step."""
        move = make_move(self.clock, step=2, share_permille=500)
        versions = self.picks(move, 4_000)
        self.assertAlmostEqual(versions.count("v2") / 4_000, 0.5, delta=0.05)

    def test_no_call_without_done_after_promise(self):
        """After the promised time the new version gets calls only if `done`."""
        move = make_move(self.clock, step=3, share_permille=1000)
        self.clock.advance(600.0)
        self.assertNotIn("v2", self.picks(move, 100))
        done = move._replace(phase="done")
        self.assertNotIn("v1", self.picks(done, 100))

    def test_withdrawn_version_gets_no_calls(self):
        """A withdrawal takes effect immediately on the node that adds it."""
        move = make_move(self.clock, step=3, share_permille=1000)
        message = withdraw.Withdraw("m1", "prices", "v2", "x", "n1", None)

        async def main():
            await self.withdrawals.add(message)

        virtual_run.run(main, seed=1)
        self.assertNotIn("v2", self.picks(move, 100))
