"""Tests of calls at a target that takes no connections for a while."""

import asyncio
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.admission import target_calls
from tests.fakes import manual_clock


class TestProbes(unittest.TestCase):
    def test_a_probe_passes_until_it_is_sent(self):
        """A call is checked when it comes and again when it starts.

        The second check refused the probe itself, so that a target that had
        been down got no calls until it announced another start.
        """
        clock = manual_clock.ManualClock()
        refused = exceptions.TargetConnectError("refused")
        calls = target_calls.TargetCalls(
            registry=mock.Mock(),
            link=mock.Mock(call=mock.AsyncMock(side_effect=refused)),
            clock=clock,
            quarantine=mock.Mock(),
            crashes=mock.Mock(),
        )
        for number in range(target_calls.CONNECT_FAILURE_THRESHOLD):
            request = mock.Mock(call_id=str(number))
            asyncio.run(calls.run(request, deadline_s=1.0))
        clock.advance(target_calls.PROBE_INTERVAL_S)
        calls.check_connected("probe")
        with self.assertRaises(exceptions.TargetConnectError):
            calls.check_connected("other")
        calls.check_connected("probe")


if __name__ == "__main__":
    unittest.main()
