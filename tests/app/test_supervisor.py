"""Tests of the supervisor of background tasks."""

import unittest

from galenatack import exceptions
from galenatack.app import supervisor
from tests.fakes import event_list
from tests.fakes import virtual_clock
from tests.fakes import virtual_run


class TestSupervisor(unittest.TestCase):
    def _run(self, errors):
        events = event_list.EventList()
        left = list(errors)

        async def task():
            if left:
                raise left.pop(0)

        async def main():
            keeper = supervisor.Supervisor(
                clock=virtual_clock.VirtualClock(), events=events
            )
            await keeper.supervise("driver", task)

        virtual_run.run(main, seed=1)
        return events.kinds()

    def test_restarts(self):
        """Guards against a failed task that takes the node down."""
        with self.assertLogs(supervisor.__name__, "ERROR"):
            kinds = self._run(
                [ValueError("bad"), ExceptionGroup("g", [OSError()])]
            )
        self.assertEqual(kinds, ["duty-failed", "duty-failed"])

    def test_violation_ends_the_process(self):
        """Guards against a violated invariant that tests do not see."""
        violation = exceptions.InvariantViolationError("broken")
        with self.assertRaises(ExceptionGroup):
            self._run([ExceptionGroup("g", [violation])])
