"""Tests of what a restarted node must not have forgotten."""

import asyncio
import unittest

from galenatack.messages import withdraw
from tests.mesh import small_fleet


def run(scenario, *services):
    """Runs a scenario on a fleet with one member for each service."""

    async def main():
        async with small_fleet.SmallFleet(*services) as fleet:
            await scenario(fleet)

    asyncio.run(main())


async def restart(fleet, member):
    """Kills a node and starts it again at the same addresses."""
    member.task.cancel()
    await asyncio.gather(member.task, return_exceptions=True)
    await member.parts.target.close()
    member.rebuild(fleet.store)
    member.task = asyncio.create_task(member.node.run())
    names = {other.name for other in fleet.members} - {member.name}
    await fleet.until(lambda: names <= set(member.parts.peers.neighbours()))


class TestRestart(unittest.TestCase):
    def test_a_target_that_had_left_is_not_used_again(self):
        """Its last announcement arrives only after the restart."""

        async def scenario(fleet):
            near, far, _ = fleet.members
            control = far.settings.control_address
            self.assertEqual(await far.target.leave(control), 200)
            await fleet.until(
                lambda: near.parts.members.get(far.name).target_state == "gone"
            )
            await restart(fleet, far)
            # Sent before the departure, delayed by a partition.
            await far.target.announce(control)
            await asyncio.sleep(0.5)
            self.assertFalse(far.parts.registry.is_accepting())
            answer = await fleet.call(near, "b.example", "/idempotent/")
            self.assertEqual(answer.status, 503)
            self.assertEqual(far.target.ran, [])

        run(scenario, "a", "b", "c")

    def test_a_node_killed_after_an_acknowledgement_remembers_it(self):
        """A leave was acknowledged up to 0.25 s before any peer knew of it."""

        async def scenario(fleet):
            near, far, _ = fleet.members
            control = far.settings.control_address
            self.assertEqual(await far.target.leave(control), 200)
            await restart(fleet, far)
            await asyncio.sleep(0.5)
            self.assertFalse(far.parts.registry.is_accepting())
            answer = await fleet.call(near, "b.example", "/idempotent/")
            self.assertEqual(answer.status, 503)

        run(scenario, "a", "b", "c")

    def test_a_target_that_stayed_is_used_at_once(self):
        """Its next announcement may be more than a second away."""

        async def scenario(fleet):
            near, far, _ = fleet.members
            await restart(fleet, far)
            await fleet.until(
                lambda: (
                    near.parts.members.get(far.name).target_id == "i-n1"
                    and near.parts.members.get(far.name).boot_ms
                    == far.parts.members.own.boot_ms
                )
            )
            answer = await fleet.call(near, "b.example", "/idempotent/")
            self.assertEqual(answer.status, 200)

        run(scenario, "a", "b", "c")

    def test_a_withdrawn_version_stays_withdrawn(self):
        """The withdrawal was flooded while the node was down."""

        async def scenario(fleet):
            near, far, _ = fleet.members
            message = withdraw.Withdraw("7", "b", "v2", "faulty", "n0", None)
            await near.parts.withdrawn.add(message)
            await fleet.until(
                lambda: far.parts.withdrawn.is_withdrawn("b", "v2", "7")
            )
            await restart(fleet, far)
            await fleet.until(
                lambda: far.parts.withdrawn.is_withdrawn("b", "v2", "7")
            )

        run(scenario, "a", "b", "c")
