"""Tests of reading the platform's settings file."""

import pathlib
import tempfile
import unittest

from galenatack import exceptions
from galenatack.platform import settings_document
from tests.app import test_settings_follower

LIMITS = "limits: {memory_mb: 200, max_fds: 4100, other: 1}\n"


class TestSettingsDocument(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "node.yaml"
            file.write_text(text)
            return settings_document.load(file)

    def test_limits_of_the_machine_are_read(self):
        """The bounds on clients follow from them."""
        settings = self.load(test_settings_follower.TEXT + LIMITS)
        self.assertEqual((settings.memory_mb, settings.max_fds), (200, 4100))

    def test_limits_may_be_missing(self):
        """Settings of earlier deployments have none."""
        settings = self.load(test_settings_follower.TEXT)
        self.assertEqual((settings.memory_mb, settings.max_fds), (0, 0))

    def test_a_limit_that_is_no_number_is_refused(self):
        """A node must not run with other bounds than its operator means."""
        text = test_settings_follower.TEXT + "limits: {memory_mb: many}\n"
        with self.assertRaises(exceptions.SettingsError):
            self.load(text)


if __name__ == "__main__":
    unittest.main()
