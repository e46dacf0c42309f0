"""Tests of the turns in which the requests of a listener begin."""

import asyncio
import unittest

from galenatack.links import request_turns


class Waiter:
    """A connection with some requests, which notes each that begins."""

    def __init__(self, name, requests, begun):
        self.name = name
        self.requests = requests
        self.begun = begun

    def begin_next(self):
        """Begins a request."""
        self.requests -= 1
        self.begun.append(self.name)
        return self.requests > 0


class TestRequestTurns(unittest.TestCase):
    def test_a_crowd_leaves_turns_to_others(self):
        """Requests that arrive at once must not all begin before a read."""

        async def main():
            begun = []
            turns = request_turns.RequestTurns()
            for number in range(20):
                turns.add(Waiter(f"crowd-{number}", 100, begun))
            turns.add(Waiter("ordinary", 1, begun))
            self.assertEqual(len(begun), request_turns.MAX_BEGUN)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertLessEqual(len(begun), 3 * request_turns.MAX_BEGUN)
            self.assertIn("ordinary", begun)

        asyncio.run(main())

    def test_a_connection_that_left_begins_nothing(self):
        """Its requests would run for nobody."""

        async def main():
            begun = []
            turns = request_turns.RequestTurns()
            turns.add(Waiter("crowd", 100, begun))
            leaving = Waiter("leaving", 1, begun)
            turns.add(leaving)
            turns.remove(leaving)
            await asyncio.sleep(0.01)
            self.assertNotIn("leaving", begun)

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
