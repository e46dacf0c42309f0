"""Tests of `galenatack explain-route` against a node on loopback."""

import asyncio
import json
import unittest

from click import testing

from galenatack.app import cli
from galenatack.model import target_condition
from tests.mesh import small_fleet


async def ask(member, *arguments):
    """Runs the tool beside the node."""
    address = member.settings.metrics_address
    command = ["explain-route", address, *arguments]
    return await asyncio.to_thread(testing.CliRunner().invoke, cli.cli, command)


class TestExplainRoute(unittest.TestCase):
    def test_the_choice_is_explained_without_a_call(self):
        """The target that calls go to has the lowest cost, others a reason."""

        async def main():
            async with small_fleet.SmallFleet("a", "b", "b") as fleet:
                caller, *others = fleet.members
                for _ in range(10):
                    await fleet.call(caller, "b.example", "/idempotent/x")
                ran = sum(len(member.target.ran) for member in others)
                caller.parts.placement._conditions.record(
                    caller.parts.members.get(others[0].name),
                    target_condition.TargetCondition(is_leaving=True),
                )
                query = ("--host", "b.example", "--path", "/idempotent/x")
                text = await ask(caller, *query)
                answer = await ask(caller, *query, "--json")
                unknown = await ask(caller, "--host", "x", "--path", "/")
                absurd = await ask(caller, *query, "--size", "-1")
                after = sum(len(member.target.ran) for member in others)
                self.assertEqual(after, ran)
                return text, json.loads(answer.output), unknown, absurd

        text, report, unknown, absurd = asyncio.run(main())
        (service,) = report["services"]
        found = {
            each["node"]: each["verdict"]
            for each in service["versions"][0]["candidates"]
        }
        self.assertEqual(
            found,
            {"n1": "leaving", "n2": "lowest-cost"},
        )
        self.assertIn("placed by counting", text.output)
        self.assertIn("lowest-cost", text.output)
        self.assertEqual((unknown.exit_code, absurd.exit_code), (3, 2))
