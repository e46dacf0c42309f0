"""Tests of the link keeper, in virtual time."""

import random
import unittest

import anyio

from galenatack.links import link_keeper
from galenatack.links import link_purpose
from galenatack.links import link_registry
from galenatack.membership import member_table
from tests.fakes import member_records
from tests.fakes import virtual_clock
from tests.fakes import virtual_run

MINUTE_S = 60.0


class _Link:
    """A link that breaks after `lifetime_s`."""

    def __init__(self, node_id, purpose, lifetime_s):
        self.node_id = node_id
        self.purpose = purpose
        self.dialled = True
        self.closed = anyio.Event()
        self.lifetime_s = lifetime_s

    async def live(self):
        """Breaks the link at the end of its lifetime."""
        await anyio.sleep(self.lifetime_s)
        self.closed.set()

    def close_soon(self, tasks):
        """Closes the link."""
        self.closed.set()


class TestLinkKeeper(unittest.TestCase):
    def setUp(self):
        self.dialled_s = []

    def _dials(self, lifetime_s, *, minutes=1, own_id="n0"):
        async def main():
            clock = virtual_clock.VirtualClock()
            own = member_records.build(own_id)
            table = member_table.MemberTable(own=own, clock=clock)
            table.merge((member_records.build("n1"),))
            registry = link_registry.LinkRegistry(own_id="a")
            dials = []
            started_s = clock.monotonic_s()

            async def open_link(node_id, purpose):
                link = _Link(node_id, purpose, lifetime_s)
                dials.append((node_id, purpose))
                self.dialled_s.append(clock.monotonic_s() - started_s)
                registry.add(link)
                tasks.start_soon(link.live)
                return link

            keeper = link_keeper.LinkKeeper(
                table=table,
                clock=clock,
                rng=random.Random(3),
                registry=registry,
                open_link=open_link,
            )
            async with anyio.create_task_group() as tasks:
                keeper.refresh(tasks)
                await anyio.sleep(minutes * MINUTE_S)
                dead = table.get("n1")._replace(status="dead")
                table.merge((dead,))
                keeper.refresh(tasks)
                keeper.refresh(tasks)
                count = len(dials)
                open_links = [
                    link
                    for link in registry.links()
                    if not link.closed.is_set()
                ]
                await anyio.sleep(MINUTE_S)
                tasks.cancel_scope.cancel()
            return dials, len(dials) - count, open_links

        return virtual_run.run(main, seed=5)

    def test_stable_link(self):
        """One link is dialled, and closed when its peer is declared dead."""
        dials, after_death, open_links = self._dials(2 * MINUTE_S)
        self.assertEqual(dials, [("n1", link_purpose.LinkPurpose.OVERLAY)])
        self.assertEqual((after_death, open_links), (0, []))

    def test_a_node_without_links_waits_briefly(self):
        """It has just started and needs its neighbours' state."""
        self._dials(2 * MINUTE_S, own_id="n2")
        self.assertAlmostEqual(
            self.dialled_s[0], link_keeper.FIRST_YIELD_S, delta=0.01
        )

    def test_link_that_breaks_at_once(self):
        """A peer that accepts and drops links is not dialled in a loop."""
        dials, after_death, _ = self._dials(0)
        self.assertGreater(len(dials), 3)
        self.assertLess(len(dials), 40)
        self.assertEqual(after_death, 0)

    def test_link_that_breaks_occasionally(self):
        """A link that was stable is redialled without a long backoff.

        Sixty lifetimes of 10 s fill ten minutes if no delay is long.
        """
        dials, _, _ = self._dials(MINUTE_S / 6, minutes=10)
        self.assertIn(len(dials), range(56, 61))
