"""Tests of the results for calls that have no answer of a target."""

import json
import unittest

from galenatack import exceptions
from galenatack.routing import local_replies


class TestResults(unittest.TestCase):
    def test_body_is_json(self):
        """The body of each result is JSON with the code and the detail."""
        error = exceptions.LeavingError("target is leaving")
        for result in (
            local_replies.not_run(error),
            local_replies.unknown(error),
        ):
            self.assertIn(("content-type", "application/json"), result.headers)
            self.assertEqual(
                json.loads(result.body),
                {"error": error.code, "detail": "target is leaving"},
            )
