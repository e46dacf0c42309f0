"""Tests of reloading a changed settings file."""

import asyncio
import os
import pathlib
import tempfile
import unittest

from galenatack import exceptions
from galenatack.app import settings_follower
from galenatack.platform import settings_document
from tests.fakes import virtual_loop

TEXT = """
node_id: "n1"
zone: "z1"
region: "r1"
ip: "10.0.0.1"
service: "s"
app_address: "10.0.0.1:8000"
internal_ports: [7600, 7615]
listen:
  inbound: "10.0.0.1:1"
  outbound: "10.0.0.1:2"
  ready_address: "10.0.0.1:3"
  control: "10.0.0.1:4"
platform:
  address: "10.0.0.9:5"
  reads_per_s: 2000
bounds: ["retry_window=10s", "budget_slack=58", "grace=6s"]
unknown_field: 1
"""


class TestSettingsFollower(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name) / "node.yaml"
        self.file.write_text(TEXT)
        self.applied = []

    def run_with(self, text, *, is_requested=False):
        """Changes the file while a follower runs; returns what it applied."""

        async def main():
            follower = settings_follower.SettingsFollower(
                file=self.file,
                settings=settings_document.load(self.file),
                load=settings_document.load,
                apply=self.applied.append,
                clock=virtual_loop.LoopClock(),
            )
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.1)
            self.file.write_text(text)
            os.utime(self.file, ns=(1, 1))
            if is_requested:
                follower.request_reload()
            await asyncio.sleep(0.1 if is_requested else 5.0)
            task.cancel()

        virtual_loop.run(main)
        return self.applied

    def test_a_changed_bound_applies_without_a_signal(self):
        """Polling detects the changed file."""
        applied = self.run_with(TEXT.replace("slack=58", "slack=30"))
        self.assertEqual(applied[-1].bounds.repeat_slack, 30)

    def test_estimates_of_costs_are_turned_off_without_a_restart(self):
        """Operators who distrust them must not restart all nodes."""
        text = TEXT.replace("grace=6s", "cost_estimates=off")
        self.assertTrue(settings_document.load(self.file).bounds.uses_estimates)
        self.assertFalse(self.run_with(text)[-1].bounds.uses_estimates)

    def test_a_requested_reload_is_immediate(self):
        """A requested reload does not wait for the next poll."""
        text = TEXT.replace("grace=6s", "grace=9s")
        applied = self.run_with(text, is_requested=True)
        self.assertEqual(applied[-1].bounds.grace_ms, 9000)

    def test_a_malformed_file_changes_nothing(self):
        """No setting of an invalid file applies."""
        for text in ("node_id: [", TEXT.replace("slack=58", "slack=many")):
            self.assertEqual(self.run_with(text), [])
            self.file.write_text(TEXT)

    def test_an_address_waits_for_a_restart(self):
        """Settings that are not reloadable keep their value until then."""
        applied = self.run_with(TEXT.replace("10.0.0.1:2", "10.0.0.1:77"))
        self.assertEqual(applied[-1].caller_address, "10.0.0.1:2")

    def test_a_missing_field_is_named(self):
        """The error names the file, the field and the problem."""
        self.file.write_text(TEXT.replace('service: "s"', ""))
        with self.assertRaises(exceptions.SettingsError) as caught:
            settings_document.load(self.file)
        self.assertIn(f"{self.file}: service: missing", str(caught.exception))
