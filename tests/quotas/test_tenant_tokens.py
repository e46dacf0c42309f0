"""Tests of the tokens that a node holds."""

import unittest

from galenatack.model import quota_part
from galenatack.quotas import quota_terms
from galenatack.quotas import tenant_account
from galenatack.quotas import tenant_tokens
from tests.fakes import manual_clock

TERMS = quota_terms.QuotaTerms(rate_per_s=10.0, capacity=40.0)


class TestTenantTokens(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.tokens = tenant_tokens.TenantTokens("t", clock=self.clock)

    def reserve(self, count):
        """Gives the node some tokens."""
        asked = self.tokens.need(0)
        part = asked._replace(wanted=count)
        self.tokens.apply(
            part,
            quota_part.QuotaPart("t", 0, count, 0.0),
            self.clock.monotonic_s(),
        )

    def test_a_lowered_limit_takes_held_tokens_away(self):
        """They would exceed the new limit within its first window."""
        self.reserve(3)
        self.assertIsNotNone(self.tokens.take(TERMS))
        self.assertIsNone(self.tokens.take(TERMS.scaled(0.5)))
        self.assertEqual(self.tokens.need(0).returned, 2)

    def test_expired_tokens_are_returned_and_not_used(self):
        """The owner grants them to others."""
        self.reserve(3)
        self.clock.advance(tenant_account.TOKEN_S)
        self.assertIsNone(self.tokens.take(TERMS))
        asked = self.tokens.need(0)
        self.assertEqual((asked.used, asked.returned), (0, 3))
        self.assertEqual(self.tokens.need(0).returned, 0)

    def test_the_token_of_a_request_that_did_not_run_serves_another(self):
        """Refusals of targets would otherwise use up the quota."""
        self.reserve(1)
        until_s = self.tokens.take(TERMS)
        self.tokens.give_back(until_s)
        self.assertEqual(self.tokens.take(TERMS), until_s)
        self.assertEqual(self.tokens.need(0).used, 1)

    def test_a_charge_that_is_given_back_gets_no_second_life(self):
        """The owner refills what it has as used, whether it ran or not."""
        self.reserve(1)
        until_s = self.tokens.take(TERMS)
        self.clock.advance(tenant_tokens.REUSE_S / 2)
        self.tokens.give_back(until_s)
        self.clock.advance(tenant_tokens.REUSE_S)
        self.assertIsNone(self.tokens.take(TERMS))
        self.tokens.give_back(until_s)
        self.assertIsNone(self.tokens.take(TERMS))
        asked = self.tokens.need(0)
        self.assertEqual((asked.used, asked.returned), (1, 0))

    def test_a_denied_tenant_is_not_needy_until_the_denial_ends(self):
        """A flood of refused requests would ask the owner all the time."""
        self.tokens.deny()
        self.tokens.note_refused()
        self.clock.advance(tenant_tokens.SHORT_S - 0.01)
        self.assertTrue(self.tokens.is_denied())
        self.assertFalse(self.tokens.is_needy())
        self.clock.advance(0.02)
        self.assertFalse(self.tokens.is_denied())
        self.assertTrue(self.tokens.is_needy())
