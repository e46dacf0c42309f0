"""Tests of what a call tells of the time that its request has used."""

import random
import unittest
from unittest import mock

from galenatack.model import caller_request
from galenatack.model import tenant
from galenatack.placement import known_conditions
from galenatack.placement import offer
from galenatack.tenants import tenant_pass
from galenatack.traffic import call_sender
from galenatack.traffic import request_attempts
from tests.fakes import manual_clock
from tests.placement import fleet_load


class TestWaitedTime(unittest.TestCase):
    def test_a_further_attempt_has_waited_since_the_request_came(self):
        """The next gate would allow it the whole objective once more."""
        clock = manual_clock.ManualClock()
        member = fleet_load.member("a")
        sender = call_sender.CallSender(
            own=member,
            peers=mock.Mock(),
            gate=mock.Mock(),
            conditions=known_conditions.KnownConditions(),
            bodies=mock.Mock(),
            clock=clock,
            rng=random.Random(1),
        )
        attempts = request_attempts.RequestAttempts(
            request=caller_request.CallerRequest(
                "x", "GET", "h", "/", (), b"", 0
            ),
            route=fleet_load.route(),
            service="s",
            config_version=1,
            deadline_s=1.0,
            arrived_s=0.0,
            sender=tenant_pass.TenantPass(tenant.Tenant("blue", ()), b""),
        )
        first = sender.make_call(attempts, offer.Offer(member))
        clock.advance(0.25)
        second = sender.make_call(attempts, offer.Offer(member))
        self.assertEqual((first.waited_ms, second.waited_ms), (0.0, 250.0))
        self.assertEqual((first.tenant, second.deadline_ms), ("blue", 750))
