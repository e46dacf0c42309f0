"""Tests of parsing and checking service choices and move states."""

import json
import unittest

from galenatack import exceptions
from galenatack.config import entry_codec
from galenatack.model import move_state
from galenatack.model import service_choice

MOVE = move_state.MoveState(
    "m1",
    "prices",
    "v1",
    "v2",
    1000,
    2000,
    "running",
    50,
    1,
    0,
    figures=(("errors", 0.5), ("calls", 3)),
)


class TestEntryCodec(unittest.TestCase):
    def test_round_trips(self):
        """Choices and moves survive dumping and parsing."""
        choice = service_choice.ServiceChoice("prices", "normal", "v1")
        body = entry_codec.dump_choice(choice)
        self.assertEqual(entry_codec.parse_choice(body), choice)
        body = entry_codec.dump_move(MOVE)
        self.assertEqual(entry_codec.parse_move(body), MOVE)

    def test_bad_fields_are_refused(self):
        """Wrong phases, figures, shares and unknown fields are refused."""
        for change in (
            {"phase": "paused"},
            {"figures": [["x", "y"]]},
            {"figures": [["x"]]},
            {"share_permille": 1001},
            {"reason": "\ud800"},
            {"surprise": 1},
        ):
            fields = {**MOVE._asdict(), **change}
            with self.assertRaises(exceptions.ProfileInvalidError):
                entry_codec.parse_move(json.dumps(fields).encode())
