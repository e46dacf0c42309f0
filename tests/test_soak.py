"""Tests of the soak runner."""

import unittest
from unittest import mock

from click import testing

from galenatack import exceptions
from tests import soak


def _fail(seed: int) -> soak.Report:
    raise exceptions.InvariantViolationError("seen", seed=seed)


class TestSoak(unittest.TestCase):
    def _run(self, *arguments: str):
        return testing.CliRunner().invoke(soak.main, arguments)

    def test_violation_is_reported(self):
        """A violation exits with 1 and prints its seed and a repeat command."""
        with mock.patch.dict(soak.RUNS, {"moves": _fail}):
            result = self._run(
                "--seed", "7", "--rounds", "2", "--only", "moves"
            )
        self.assertEqual(result.exit_code, 1)
        self.assertIn("VIOLATION moves seed 8", result.output)
        self.assertIn("--seed 8 --only moves", result.output)
        self.assertIn("2 violations", result.output)

    def test_clean_run(self):
        """A run without violations exits with 0 and prints its figures."""
        result = self._run("--rounds", "1", "--only", "membership")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("membership: 1 runs", result.output)
