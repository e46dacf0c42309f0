"""Tests that the operators' page matches the code."""

import pathlib
import re
import unittest

from galenatack.app import exit_status
from galenatack.config import profile_codec
from galenatack.links import handshake
from galenatack.settings import reference

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


class TestOperatorsPage(unittest.TestCase):
    def setUp(self):
        self.page = PAGE.read_text(encoding="utf-8")

    def test_settings(self):
        """The table of settings is the one rendered from the schema."""
        match = re.search(
            r"<!-- settings: .*? -->\n(.*?)<!-- end of settings -->",
            self.page,
            re.DOTALL,
        )
        self.assertEqual(match[1], reference.render())

    def test_profile_example(self):
        """The example profile passes the check."""
        example = re.search(r"```yaml\n(.*?)```", self.page, re.DOTALL)[1]
        body = profile_codec.json_from_yaml(example)
        self.assertEqual(profile_codec.parse(body).service, "purchases")

    def test_exit_statuses(self):
        """Every exit status is explained."""
        for status in exit_status.ExitStatus:
            self.assertIn(f"\n| {status.value} | ", self.page)

    def test_protocol_range(self):
        """The page names the protocol versions that this release supports."""
        self.assertEqual(
            (handshake.OLDEST_PROTOCOL, handshake.PROTOCOL), (2, 3)
        )
        self.assertIn("This release speaks versions 2 and 3", self.page)
