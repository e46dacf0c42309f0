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
        remaining = list(errors)

        async def task():
            if remaining:
                raise remaining.pop(0)

        async def main():
            task_supervisor = supervisor.Supervisor(
                clock=virtual_clock.VirtualClock(), events=events
            )
            await task_supervisor.supervise("driver", task)

        virtual_run.run(main, seed=1)
        return events.kinds()

    def test_restarts(self):
        """Guards against a failed task that ends the node."""
        with self.assertLogs(supervisor.__name__, "ERROR"):
            kinds = self._run(
                [ValueError("bad"), ExceptionGroup("g", [OSError()])]
            )
        self.assertEqual(kinds, ["duty-failed", "duty-failed"])

    def test_violation_ends_the_process(self):
        """Guards against violated invariants that go unnoticed in tests."""
        violation = exceptions.InvariantViolationError("broken")
        with self.assertRaises(ExceptionGroup):
            self._run([ExceptionGroup("g", [violation])])
