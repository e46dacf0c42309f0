"""Tests of the driver: lease, fencing, steps and verdicts."""

import unittest

import anyio

from galenatack import exceptions
from galenatack.model import move_policy
from galenatack.model import transaction
from tests.fakes import virtual_run
from tests.moves import move_fixture


def run(body, *, seed, nodes=1, policy=None):
    """Runs `body(world, tasks)` on a started move in virtual time."""

    async def main():
        async with anyio.create_task_group() as tasks:
            world = move_fixture.World(tasks, policy=policy)
            await world.start(nodes=nodes)
            await body(world, tasks)
            tasks.cancel_scope.cancel()

    virtual_run.run(main, seed=seed)


class TestVerdict(unittest.TestCase):
    def test_good_version_is_done_in_time(self):
        """`done` changes the version 10 s before the promised time."""

        async def body(world, tasks):
            tasks.start_soon(world.nodes[0].driver.run)
            await world.until(110.0)
            state = await world.state()
            self.assertEqual(state.phase, "done")
            self.assertEqual(state.warm_until_ms, state.by_ms + 60_000)
            self.assertEqual(await world.version(), "v2")

        run(body, seed=1)

    def test_steps_rise_in_order(self):
        """Each step is written once, in order of its share."""

        async def body(world, tasks):
            tasks.start_soon(world.nodes[0].driver.run)
            await world.until(110.0)
            shares = [
                facts["share_permille"]
                for kind, facts in world.nodes[0].events.events
                if kind == "move-written"
            ]
            self.assertEqual(shares, [250, 500, 1000, 1000])

        run(body, seed=1)

    def test_bad_version_is_taken_back(self):
        """A fault causes a withdrawal, and the driver writes `taken_back`."""

        async def body(world, tasks):
            tasks.start_soon(world.nodes[0].driver.run)
            world.faults["post"] = (0.2, 1.0)
            await world.until(20.0)
            state = await world.state()
            self.assertEqual(state.phase, "taken_back")
            self.assertIn("post", state.reason)

        run(body, seed=2)

    def test_late_fault_is_taken_back_while_open(self):
        """A version that becomes faulty at full share is still taken back."""

        async def body(world, tasks):
            tasks.start_soon(world.nodes[0].driver.run)
            await world.until(92.0)
            self.assertEqual((await world.state()).share_permille, 1000)
            world.faults["lookup"] = (0.3, 1.0)
            await world.until(95.0)
            state = await world.state()
            self.assertEqual(state.phase, "taken_back")
            self.assertEqual(state.warm_until_ms, state.by_ms + 60_000)

        run(body, seed=3)

    def test_low_traffic_follows_policy(self):
        """With too few calls the policy decides at the time of the verdict."""
        for on_low_traffic, phase in (
            ("take_back", "taken_back"),
            ("done", "done"),
        ):

            async def body(world, tasks, phase=phase):
                world.rate = 0
                tasks.start_soon(world.nodes[0].driver.run)
                await world.until(90.0)
                self.assertEqual((await world.state()).phase, "running")
                await world.until(110.0)
                self.assertEqual((await world.state()).phase, phase)

            policy = move_policy.MovePolicy(on_low_traffic=on_low_traffic)
            run(body, seed=4, policy=policy)


class TestDriverFailures(unittest.TestCase):
    def test_dead_driver_is_replaced(self):
        """The next rank takes over 5 s after the last change of the lease."""

        async def body(world, tasks):
            first = anyio.CancelScope()

            async def drive():
                with first:
                    await world.nodes[0].driver.run()

            tasks.start_soon(drive)
            tasks.start_soon(world.nodes[1].driver.run)
            await world.until(10.0)
            first.cancel()
            await world.until(18.0)
            kinds = world.nodes[1].events.kinds()
            self.assertIn("move-driver-started", kinds)
            await world.until(110.0)
            self.assertEqual((await world.state()).phase, "done")

        run(body, seed=5, nodes=2)

    def test_paused_driver_is_fenced(self):
        """A driver that was paused until its lease expired cannot write."""

        async def body(world, tasks):
            paused, other = world.nodes
            self.assertTrue(await paused.driver._lease.acquire(rank=0))
            stale = paused.driver._lease.check()
            tasks.start_soon(other.driver.run)
            await world.until(10.0)
            self.assertIn("move-driver-started", other.events.kinds())
            state = (await world.state())._replace(step=3)
            with self.assertRaises(exceptions.TransactionConflictError):
                await world.writer.write_move(state, checks=(stale,))
            tasks.start_soon(paused.driver.run)
            await world.until(14.0)
            self.assertIn("move-lease-lost", paused.events.kinds())

        run(body, seed=6, nodes=2)

    def test_two_drivers_write_each_step_once(self):
        """Of racing candidates with the same rank only one drives."""

        async def body(world, tasks):
            for node in world.nodes:
                node.rank = 0
                tasks.start_soon(node.driver.run)
            await world.until(110.0)
            written = [
                facts["step"]
                for node in world.nodes
                for kind, facts in node.events.events
                if kind == "move-written"
            ]
            self.assertEqual(sorted(written), [1, 2, 3, 3])

        run(body, seed=7, nodes=3)

    def test_lost_answers_do_not_stop_a_move(self):
        """Writes with a lost answer are resolved by reading."""

        async def body(world, tasks):
            tasks.start_soon(world.nodes[0].driver.run)
            for second in range(1, 100):
                await world.until(float(second))
                world.table.lose_answers = 1
            await world.until(110.0)
            self.assertEqual((await world.state()).phase, "done")

        run(body, seed=8)

    def test_missing_choice_does_not_end_the_driver(self):
        """The verdict does not depend on the service entry."""

        async def body(world, tasks):
            tasks.start_soon(world.nodes[0].driver.run)
            await world.until(90.0)
            await world.table.commit(
                transaction.Transaction(deletes=("entry/service/prices",))
            )
            await world.until(125.0)
            kinds = world.nodes[0].events.kinds()
            self.assertNotIn("move-driver-failed", kinds)
            self.assertEqual((await world.state()).phase, "done")

        run(body, seed=14)


class TestPlatformOutage(unittest.TestCase):
    def test_outage_over_the_promised_time(self):
        """After the outage the driver writes `taken_back`."""

        async def body(world, tasks):
            tasks.start_soon(world.nodes[0].driver.run)
            await world.until(80.0)
            world.table.down = True
            await world.until(150.0)
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await world.state()
            world.table.down = False
            await world.until(165.0)
            state = await world.state()
            self.assertEqual(state.phase, "taken_back")
            self.assertIn("promised time", state.reason)

        run(body, seed=9)

    def test_outage_after_done_keeps_done(self):
        """A stored `done` is final."""

        async def body(world, tasks):
            for node in world.nodes:
                tasks.start_soon(node.driver.run)
            await world.until(108.0)
            world.table.down = True
            await world.until(150.0)
            world.table.down = False
            await world.until(165.0)
            self.assertEqual((await world.state()).phase, "done")

        run(body, seed=10, nodes=2)

    def test_withdrawal_needs_neither_driver_nor_platform(self):
        """All nodes withdraw within 3 s, without driver or platform."""

        async def body(world, tasks):
            del tasks
            await world.until(30.0)
            world.table.down = True
            world.faults["post"] = (0.5, 1.0)
            await world.until(33.0)
            for node in world.nodes:
                self.assertTrue(node.detector.is_withdrawn())

        run(body, seed=11, nodes=3)


class TestOperators(unittest.TestCase):
    def test_second_move_is_refused(self):
        """While a move is open, a second operator gets an error."""

        async def body(world, tasks):
            del tasks
            with self.assertRaises(exceptions.MoveActiveError):
                await world.service.start(
                    "prices", to_version="v3", by_ms=world.move.by_ms
                )

        run(body, seed=12)

    def test_two_operators_start_at_once(self):
        """Of two concurrent starts the first write wins."""

        async def body(world, tasks):
            await world.service.cancel("prices")
            outcomes = []

            async def start(version):
                try:
                    await world.service.start(
                        "prices", to_version=version, by_ms=world.move.by_ms
                    )
                    outcomes.append("won")
                except exceptions.MoveActiveError:
                    outcomes.append("lost")

            async with anyio.create_task_group() as operators:
                operators.start_soon(start, "v2")
                operators.start_soon(start, "v3")
            self.assertEqual(sorted(outcomes), ["lost", "won"])
            del tasks

        run(body, seed=13)

    def test_cancel_against_done_at_the_last_step(self):
        """Cancel and `done` race; a losing cancel returns the verdict."""
        verdicts = set()
        for offset in range(8):

            async def body(world, tasks, offset=offset):
                tasks.start_soon(world.nodes[0].driver.run)
                await world.until(94.6 + offset * 0.08)
                try:
                    await world.service.cancel("prices")
                    outcome = "taken_back"
                except exceptions.MoveFinishedError as error:
                    outcome = error.verdict
                verdicts.add(outcome)
                await world.until(120.0)
                self.assertEqual((await world.state()).phase, outcome)
                expected = "v2" if outcome == "done" else "v1"
                self.assertEqual(await world.version(), expected)

            run(body, seed=20 + offset)
        self.assertEqual(verdicts, {"done", "taken_back"})
