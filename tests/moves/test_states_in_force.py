"""Tests of the move states in force."""

import unittest

from galenatack.invariants import verdict_once
from galenatack.moves import states_in_force
from tests.fakes import manual_clock
from tests.moves import test_version_picker


class TestStatesInForce(unittest.TestCase):
    def test_verdict_in_force_stays(self):
        """A verdict may be followed only by itself and by a later move."""
        move = test_version_picker.make_move(manual_clock.ManualClock())
        done = move._replace(phase="done")
        states = states_in_force.StatesInForce()
        for state in (move, done, done, move._replace(move_id="m2")):
            states.record(state)
        states.record(done._replace(move_id="m2"))
        with self.assertRaises(verdict_once.VerdictOnceViolationError):
            states.record(move._replace(move_id="m2", phase="taken_back"))
