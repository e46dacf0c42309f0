"""Tests of fetching announced bodies over a slow link."""

import asyncio
import unittest

from galenatack import exceptions
from galenatack.bodies import announced_bodies
from galenatack.bodies import announced_body
from galenatack.bodies import body_fetcher
from galenatack.bodies import part_window
from tests.fakes import virtual_loop

BYTES_PER_S = 625_000
"""A link of 5 Mbit/s."""


class SlowLink:
    """Peers that share the link of the receiver, one part after the other."""

    def __init__(self):
        self.handlers = {}
        self.free_s = 0.0
        self.on_the_way = 0
        self.most_on_the_way = 0
        self.arrived = []
        self.is_lost = False

    def on(self, message_type, handler):
        """Registers a handler of the senders."""
        self.handlers[message_type] = handler

    async def request(self, node_id, message, *, timeout_s):
        """Returns the part once the link has carried it."""
        if self.is_lost:
            raise exceptions.PeerUnreachableError(node_id)
        self.on_the_way += message.size_bytes
        self.most_on_the_way = max(self.most_on_the_way, self.on_the_way)
        loop = asyncio.get_running_loop()
        try:
            self.free_s = max(self.free_s, loop.time())
            self.free_s += message.size_bytes / BYTES_PER_S
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self.free_s - loop.time())
        except TimeoutError as error:
            raise exceptions.PeerTimeoutError(node_id) from error
        finally:
            self.on_the_way -= message.size_bytes
        self.arrived.append(message.call_id)
        return await self.handlers[type(message)]("gate", message)


class TestBodyFetcher(unittest.TestCase):
    def run_fetches(self, fetches, *, before=None):
        """Fetches bodies at once.

        Args:
            fetches: Call id, body, priority and deadline of each.
            before: Called with link and fetcher once all have begun.

        Returns:
            Results or errors, and the link.
        """

        async def main():
            link = SlowLink()
            bodies = announced_bodies.AnnouncedBodies(peers=link)
            fetcher = body_fetcher.BodyFetcher(
                peers=link, clock=virtual_loop.LoopClock()
            )

            async def fetch(call_id, body, priority, deadline_s):
                with bodies.announced(call_id, "gate", body):
                    return await fetcher.fetch(
                        call_id,
                        announced_body.AnnouncedBody("sender", len(body)),
                        priority=priority,
                        deadline_s=deadline_s,
                    )

            tasks = [asyncio.create_task(fetch(*item)) for item in fetches]
            await asyncio.sleep(0.02)
            if before is not None:
                before(link, fetcher)
            results = await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(0)
            self.assertEqual(fetcher.backlog_bytes, 0)
            return results, link

        return virtual_loop.run(main)

    def test_bodies_arrive_whole(self):
        """Sizes around the limits of a part are kept, byte by byte."""
        bodies = [
            bytes(index % 251 for index in range(size))
            for size in (1, 8191, 8192, 8193, 55_000)
        ]
        results, _ = self.run_fetches(
            [(f"c{n}", body, 1, 5.0) for n, body in enumerate(bodies)]
        )
        self.assertEqual(results, bodies)

    def test_uploads_leave_the_link_to_small_messages(self):
        """Twenty uploads at once are never more than a window on the way.

        On links of 5 Mbit/s, whatever is on the way delays all small calls to
        the same node: without a window, twenty uploads did so for 1.8 s.
        """
        _, link = self.run_fetches(
            [(f"c{n}", bytes(55_000), 1, 9.0) for n in range(20)]
        )
        self.assertLessEqual(
            link.most_on_the_way,
            part_window.MAX_PARTS * body_fetcher.PART_BYTES,
        )

    def test_an_urgent_body_overtakes_the_others(self):
        """Bodies are fetched by priority."""
        _, link = self.run_fetches(
            [
                ("first", bytes(200_000), 1, 9.0),
                ("last", bytes(60_000), 2, 9.0),
                ("urgent", bytes(60_000), 0, 9.0),
            ]
        )
        self.assertEqual(_by_end(link), ["urgent", "first", "last"])

    def test_short_bodies_go_before_a_long_one_but_not_for_ever(self):
        """On a link that is used to nine tenths, a long body holds up many.

        Short ones that come much later do not keep it waiting.
        """

        async def main():
            link = SlowLink()
            bodies = announced_bodies.AnnouncedBodies(peers=link)
            fetcher = body_fetcher.BodyFetcher(
                peers=link, clock=virtual_loop.LoopClock()
            )

            async def fetch(call_id, size_bytes, delay_s):
                await asyncio.sleep(delay_s)
                with bodies.announced(call_id, "gate", bytes(size_bytes)):
                    await fetcher.fetch(
                        call_id,
                        announced_body.AnnouncedBody("sender", size_bytes),
                        priority=0,
                        deadline_s=99.0,
                    )

            await fetch("measured", 62_500, 0.0)
            await asyncio.gather(
                fetch("long", 250_000, 0.0),
                *(fetch(f"short{n}", 25_000, 0.01 + n / 20) for n in range(60)),
            )
            return _by_end(link)

        ends = virtual_loop.run(main)
        place = ends.index("long")
        self.assertGreater(place, 20)
        self.assertLess(place, 45)

    def test_a_lost_sender_fails_its_call_only_before_it_runs(self):
        """The call has not run, and room and backlog are given back."""

        def lose(link, fetcher):
            del fetcher
            link.is_lost = True

        results, _ = self.run_fetches(
            [("c", bytes(100_000), 1, 9.0)], before=lose
        )
        self.assertIsInstance(results[0], exceptions.BodyUnavailableError)

    def test_a_cancelled_call_ends_its_fetch(self):
        """A caller that leaves takes no more of the link."""

        def cancel(link, fetcher):
            del link
            self.assertTrue(fetcher.cancel("c"))
            self.assertFalse(fetcher.cancel("other"))

        results, link = self.run_fetches(
            [("c", bytes(400_000), 1, 9.0)], before=cancel
        )
        self.assertIsInstance(results[0], exceptions.CancelledCallError)
        self.assertLess(len(link.arrived), 10)

    def test_a_body_is_handed_only_to_the_gate_of_its_call(self):
        """Another node gets nothing, also if it knows the call."""

        async def main():
            link = SlowLink()
            bodies = announced_bodies.AnnouncedBodies(peers=link)
            fetcher = body_fetcher.BodyFetcher(
                peers=link, clock=virtual_loop.LoopClock()
            )
            with bodies.announced("c", "another", bytes(20_000)):
                with self.assertRaises(exceptions.BodyUnavailableError):
                    await fetcher.fetch(
                        "c",
                        announced_body.AnnouncedBody("sender", 20_000),
                        priority=0,
                        deadline_s=1.0,
                    )
                self.assertFalse(bodies.is_handed_out("c"))

        virtual_loop.run(main)

    def test_a_silent_node_keeps_no_others_from_their_bodies(self):
        """Its parts would hold the window until a deadline that it names.

        An urgent body behind it ended long after its own deadline.
        """

        async def main():
            started_s = asyncio.get_running_loop().time()
            link = SlowLink()
            announced_bodies.AnnouncedBodies(peers=link)
            fetcher = body_fetcher.BodyFetcher(
                peers=link, clock=virtual_loop.LoopClock()
            )
            link.free_s = 60.0
            ends = []

            async def fetch(call_id, priority, deadline_s):
                with self.assertRaises(exceptions.BodyUnavailableError):
                    await fetcher.fetch(
                        call_id,
                        announced_body.AnnouncedBody("silent", 40_000),
                        priority=priority,
                        deadline_s=deadline_s,
                    )
                ends.append(asyncio.get_running_loop().time() - started_s)

            await asyncio.gather(fetch("a", 5, 30.0), fetch("b", 0, 0.3))
            return sorted(ends)

        ends_s = virtual_loop.run(main)
        self.assertAlmostEqual(ends_s[0], 0.3, delta=0.05)
        self.assertLess(ends_s[1], 2.1)

    def test_bodies_that_are_here_count_until_their_calls_end(self):
        """Otherwise twenty of 4 MB are kept beside a limit of 32 MB."""

        async def main():
            link = SlowLink()
            bodies = announced_bodies.AnnouncedBodies(peers=link)
            fetcher = body_fetcher.BodyFetcher(
                peers=link, clock=virtual_loop.LoopClock()
            )
            size_bytes = 4_000_000

            async def fetch(call_id):
                with bodies.announced(call_id, "gate", bytes(size_bytes)):
                    await fetcher.fetch(
                        call_id,
                        announced_body.AnnouncedBody("sender", size_bytes),
                        priority=0,
                        deadline_s=999.0,
                    )

            for number in range(8):
                await fetch(f"c{number}")
            with self.assertRaises(exceptions.BodyUnavailableError):
                await fetch("c8")
            fetcher.release("c0")
            await fetch("c9")

        virtual_loop.run(main)

    def test_the_wait_follows_the_measured_rate(self):
        """Callers learn how long a further body would take to begin."""
        waits_ms = []

        def look(link, fetcher):
            del link
            waits_ms.append(fetcher.wait_ms())

        self.run_fetches(
            [(f"c{n}", bytes(62_500), 1, 9.0) for n in range(10)], before=look
        )
        self.assertAlmostEqual(waits_ms[0], 1000, delta=150)


def _by_end(link):
    """Returns the calls in the order in which their bodies were whole."""
    last = {call_id: index for index, call_id in enumerate(link.arrived)}
    return sorted(last, key=last.__getitem__)
