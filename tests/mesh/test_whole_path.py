"""Tests of the path of a call through complete nodes."""

import asyncio
import json
import unittest

from standins.mesh import operator_config
from tests.mesh import small_fleet


def run(scenario, *services):
    """Runs a scenario on a fleet with one member for each service."""

    async def main():
        async with small_fleet.SmallFleet(*services) as fleet:
            await scenario(fleet)

    asyncio.run(main())


class TestWholePath(unittest.TestCase):
    def test_a_call_reaches_the_target_of_another_node_and_comes_back(self):
        """Method, path, body, identity and answer arrive unchanged."""

        async def scenario(fleet):
            near, far = fleet.members
            answer = await fleet.call(
                near,
                "b.example",
                "/non_idempotent/x?y=1",
                method="PUT",
                body=b"body",
                attempt=b"one",
            )
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.body, b"/non_idempotent/x?y=1body")
            headers = dict(answer.headers)
            self.assertEqual(headers[b"x-upstream-stamp"], b"i-n1.one")
            self.assertEqual(far.target.ran, ["one"])
            self.assertEqual(far.target.seen["x-caller-service"], "a")
            self.assertEqual(far.target.seen["x-expected-instance"], "i-n1")
            self.assertEqual(near.target.ran, [])

        run(scenario, "a", "b")

    def test_one_unknown_route_does_not_affect_the_others(self):
        """A kind or a destination of a newer release costs one route at most.

        An unknown kind runs at most once: a failed answer is not retried.
        """

        async def scenario(fleet):
            document = json.loads(
                operator_config.config(
                    3, ("a",), kinds=("idempotent", "sometime")
                )
            )
            columns, rows = document["routes"].values()
            columns.append("redirect")
            for values in rows:
                values.append(None)
            moved = dict(zip(columns, rows[0], strict=True))
            moved |= {"prefix": "/moved/", "service": None, "redirect": "x"}
            rows.append(list(moved.values()))
            fleet.store.operator_writes(
                "op", "config", json.dumps(document).encode()
            )
            (member,) = fleet.members
            await fleet.until(lambda: member.parts.config.version == 3)
            answer = await fleet.call(member, "a.example", "/idempotent/")
            self.assertEqual(answer.status, 200)
            member.target.status = 500
            answer = await fleet.call(
                member, "a.example", "/sometime/", attempt=b"once"
            )
            self.assertEqual(answer.status, 500)
            self.assertEqual(member.target.ran.count("once"), 1)
            answer = await fleet.call(member, "a.example", "/moved/")
            self.assertEqual(answer.status, 503)
            self.assertIn(b"redirect", answer.body)
            self.assertIn(b"retry-after", dict(answer.headers))
            self.assertEqual(member.parts.config.unknown_parts, 2)

        run(scenario, "a")

    def test_a_path_without_a_route_is_final(self):
        """A 404 has no retry-after header."""

        async def scenario(fleet):
            answer = await fleet.call(fleet.members[0], "a.example", "/none/")
            self.assertEqual(answer.status, 404)
            self.assertNotIn(b"retry-after", dict(answer.headers))

        run(scenario, "a")

    def test_a_call_whose_caller_left_is_cancelled_at_the_target(self):
        """An idempotent call is cancelled when its caller disconnects."""

        async def scenario(fleet):
            near, far = fleet.members
            far.target.hold = asyncio.Event()
            task = asyncio.create_task(
                fleet.call(near, "b.example", "/idempotent/x", attempt=b"g")
            )
            await fleet.until(lambda: far.target.ran)
            task.cancel()
            await fleet.until(lambda: far.target.cancelled)
            self.assertEqual(far.parts.gate.running, 0)

        run(scenario, "a", "b")

    def test_a_posting_whose_caller_left_runs_to_its_end(self):
        """An at-most-once call is not cancelled."""

        async def scenario(fleet):
            near, far = fleet.members
            far.target.hold = asyncio.Event()
            task = asyncio.create_task(
                fleet.call(
                    near, "b.example", "/non_idempotent/x", method="POST"
                )
            )
            await fleet.until(lambda: far.target.ran)
            task.cancel()
            await asyncio.sleep(0.3)
            self.assertEqual(far.target.cancelled, [])
            far.target.hold.set()
            await fleet.until(lambda: not far.parts.gate.in_flight)

        run(scenario, "a", "b")

    def test_a_failed_answer_is_retried_once_if_idempotent(self):
        """A read is retried on another target, a posting is not."""

        async def scenario(fleet):
            for member in fleet.members[1:]:
                member.target.status = 500
            caller = fleet.members[0]
            await fleet.call(caller, "b.example", "/idempotent/x")
            reads = sum(len(m.target.ran) for m in fleet.members[1:])
            self.assertEqual(reads, 2)
            answer = await fleet.call(
                caller, "b.example", "/non_idempotent/x", method="POST"
            )
            self.assertEqual(answer.status, 500)
            both = sum(len(m.target.ran) for m in fleet.members[1:])
            self.assertEqual(both, 3)

        run(scenario, "a", "b", "b")

    def test_a_target_that_leaves_gets_no_more_calls(self):
        """All calls go to the other target of the service."""

        async def scenario(fleet):
            caller, leaving, staying = fleet.members
            status = await leaving.target.leave(
                leaving.settings.control_address
            )
            self.assertEqual(status, 200)
            await asyncio.sleep(1.1)
            before = len(leaving.target.ran)
            for _ in range(10):
                answer = await fleet.call(
                    caller, "b.example", "/non_idempotent/x", method="PUT"
                )
                self.assertEqual(answer.status, 200)
            self.assertEqual(len(leaving.target.ran), before)
            self.assertEqual(len(staying.target.ran), 10)

        run(scenario, "a", "b", "b")

    def test_a_node_without_the_store_gets_a_change_from_another(self):
        """A configuration reaches a node that the store refuses."""

        async def scenario(fleet):
            store = fleet.store
            store.faults.refused_nodes.add("n1")
            store.operator_writes(
                "op", "config", operator_config.config(9, {"a", "b"})
            )
            await fleet.until(
                lambda: all(m.parts.config.version == 9 for m in fleet.members)
            )

        run(scenario, "a", "b")

    def test_connections_to_a_target_are_bounded_by_the_configuration(self):
        """Calls beyond the limit are queued, although the target has slots."""

        async def scenario(fleet):
            near, far = fleet.members
            fleet.store.operator_writes(
                "op",
                "config",
                operator_config.config(9, {"a", "b"}, max_connections=2),
            )
            await fleet.until(lambda: far.parts.config.version == 9)
            far.target.hold = asyncio.Event()
            tasks = [
                asyncio.create_task(
                    fleet.call(near, "b.example", "/idempotent/x")
                )
                for _ in range(4)
            ]
            await fleet.until(lambda: far.parts.gate.in_flight == 4)
            self.assertEqual(len(far.target.ran), 2)
            far.target.hold.set()
            answers = await asyncio.gather(*tasks)
            self.assertEqual({answer.status for answer in answers}, {200})

        run(scenario, "a", "b")
