"""Tests of the memory of crashes."""

import unittest

from galenatack.model import crash_entry
from galenatack.quarantine import crash_ledger
from galenatack.quarantine import request_fingerprint
from tests.fakes import manual_clock
from tests.platform import test_target_headers

REQUEST = test_target_headers.REQUEST
FINGERPRINT = request_fingerprint.of(REQUEST)


def crash(number, *, age_ms=0, is_cleared=False, fingerprint=FINGERPRINT):
    """Returns the entry of a crash."""
    return crash_entry.CrashEntry(
        fingerprint, f"{number}", age_ms, number > 0, is_cleared
    )


class TestCrashLedger(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.ledger = crash_ledger.CrashLedger(clock=self.clock)

    def test_a_quarantine_ends_and_one_more_crash_starts_it_again(self):
        refusals_ms = []
        for number in range(4):
            self.clock.advance(crash_ledger.QUARANTINE_S)
            refusals_ms.append(self.ledger.refusal_ms(FINGERPRINT))
            self.ledger.add([crash(number)])
            refusals_ms.append(self.ledger.refusal_ms(FINGERPRINT))
        quarantine_ms = crash_ledger.QUARANTINE_S * 1000
        self.assertEqual(
            refusals_ms,
            [0, 0, 0, 0, 0, quarantine_ms, 0, quarantine_ms],
        )
        self.clock.advance(crash_ledger.EXPIRY_S + 1)
        self.assertIsNone(self.ledger.find(REQUEST))

    def test_an_answer_clears_a_request_in_any_order_of_reports(self):
        news = [crash(1), crash(2), crash(3)]
        cleared = [entry._replace(is_cleared=True) for entry in news]
        for entries in (news + cleared, cleared + news, cleared + news * 2):
            ledger = crash_ledger.CrashLedger(clock=self.clock)
            ledger.add(entries)
            self.assertIsNone(ledger.find(REQUEST))
            self.assertEqual(ledger.add(entries), ())

    def test_equal_requests_on_targets_that_crash_together_count_once(self):
        self.ledger.add(
            [crash(n)._replace(was_suspect=False) for n in range(5)]
        )
        self.assertEqual(self.ledger.crashes(FINGERPRINT), 1)
        self.assertEqual(self.ledger.refusal_ms(FINGERPRINT), 0)

    def test_it_stays_bounded_and_keeps_the_newest_crashes(self):
        for number in range(20):
            self.ledger.add([crash(number, age_ms=100 - number)])
        self.assertEqual(
            self.ledger.crashes(FINGERPRINT),
            crash_ledger.MAX_CRASHES_PER_REQUEST,
        )
        self.assertEqual(self.ledger.add([crash(0, age_ms=100)]), ())
        for number in range(crash_ledger.MAX_REQUESTS):
            self.ledger.add([crash(1, fingerprint=b"%016d" % number)])
        self.assertEqual(len(self.ledger), crash_ledger.MAX_REQUESTS)
        self.assertEqual(self.ledger.quarantined, 1)
        self.assertIsNotNone(self.ledger.find(REQUEST))
