"""Tests of `galenatack fleet` on a store served over HTTP."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from click import testing

from galenatack.app import cli
from galenatack.model import rollout_progress
from galenatack.platform import rollout_rows
from standins.mesh import operator_config
from tests.app import test_settings_follower
from tests.mesh import small_fleet
from tests.platform import test_store_table

ORDER = {"service": "a", "to": "v2", "duration": "12s"}


def run(*arguments, store_address):
    """Runs the tool with a settings file that names a store."""
    text = test_settings_follower.TEXT.replace("10.0.0.9:5", store_address)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.yaml"
        path.write_text(text)
        return testing.CliRunner().invoke(
            cli.cli, [*arguments, "fleet", str(path)]
        )


class TestFleet(unittest.TestCase):
    def test_a_verdict_is_shown_with_its_reason(self):
        """Configuration, rollout, phase and figures come from the store."""

        async def scenario(store, table):
            store.operator_writes(
                "op", "config", operator_config.config(7, {"a"})
            )
            revision = store.operator_writes(
                "op", "rollout/a", json.dumps(ORDER).encode()
            )
            await rollout_rows.RolloutRows(table=table).write(
                rollout_progress.RolloutProgress(
                    "a", "v2", revision, "taken-back", "5 of 9 failed", "n1"
                ),
                expected=0,
            )
            address = table._client._host_header.decode()
            result = await asyncio.to_thread(run, store_address=address)
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIn("configuration 7: 2 routes", result.output)
            self.assertIn("a to v2: taken-back (5 of 9", result.output)

        test_store_table.run(scenario)

    def test_an_unreachable_store_has_a_next_step(self):
        """The error has a next step, and the exit status is 4."""
        address = small_fleet.free_addresses(1)[0]
        result = run(store_address=address)
        self.assertEqual(result.exit_code, 4, result.output)
        self.assertIn("next:", result.output)
