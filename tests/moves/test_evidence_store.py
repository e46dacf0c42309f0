"""Tests of evidence reports, their windows and warm-up."""

import unittest

from galenatack.messages import evidence
from galenatack.model import route_evidence
from galenatack.moves import evidence_counter
from galenatack.moves import evidence_store
from galenatack.moves import latency_buckets
from galenatack.moves import warm_up
from tests.fakes import manual_clock


def report(node_id, number, calls, *, incarnation=1, errors=0, move_id="m"):
    """Returns a report of one route, with all latencies in bucket 10."""
    routes = (
        route_evidence.RouteEvidence(
            "r", "v2", calls, errors, calls, ((10, calls),)
        ),
    )
    return evidence.Evidence(move_id, node_id, incarnation, number, "a", routes)


class TestEvidenceStore(unittest.TestCase):
    def test_windows_are_differences(self):
        """Each call is counted in exactly one window."""
        store = evidence_store.EvidenceStore(move_id="m")
        store.add(report("n1", 1, 10), now_s=0.5)
        first = store.take(now_s=0.5)
        store.add(report("n1", 2, 25, errors=2), now_s=1.0)
        second = store.take(now_s=1.0)
        self.assertEqual([w.calls for w in first + second], [10, 15])
        self.assertEqual(second[0].errors, 2)
        self.assertEqual(second[0].buckets, {10: 15})
        self.assertEqual(store.take(now_s=1.2), ())

    def test_reordered_reports_are_dropped(self):
        """An older report that arrives after a newer one is ignored."""
        store = evidence_store.EvidenceStore(move_id="m")
        store.add(report("n1", 2, 20), now_s=1.0)
        self.assertFalse(store.add(report("n1", 1, 10), now_s=1.1))
        self.assertEqual(store.take(now_s=1.1)[0].calls, 20)

    def test_restart_counts_from_zero(self):
        """Counts of a new incarnation add to those of the old one."""
        store = evidence_store.EvidenceStore(move_id="m")
        store.add(report("n1", 1, 10), now_s=0.5)
        store.take(now_s=0.5)
        store.add(report("n1", 2, 4, incarnation=2), now_s=1.0)
        self.assertEqual(store.take(now_s=1.5)[0].calls, 4)

    def test_window_waits_for_all_gates(self):
        """A window closes when all gates reported, or after 0.4 s."""
        store = evidence_store.EvidenceStore(move_id="m")
        store.add(report("n1", 1, 1), now_s=0.5)
        store.add(report("n2", 1, 1), now_s=0.5)
        store.take(now_s=0.5)
        store.add(report("n1", 2, 2), now_s=1.0)
        self.assertEqual(store.take(now_s=1.1), ())
        self.assertEqual(store.take(now_s=1.5)[0].calls, 1)

    def test_late_observer_takes_a_baseline(self):
        """A node that joins a move late uses first reports as a baseline."""
        store = evidence_store.EvidenceStore(move_id="m", is_late=True)
        store.add(report("n1", 100, 1000), now_s=0.5)
        self.assertEqual(store.take(now_s=1.0), ())
        store.add(report("n1", 101, 1010), now_s=1.5)
        self.assertEqual(store.take(now_s=1.5)[0].calls, 10)

    def test_other_move_is_ignored(self):
        """Reports of another move are ignored."""
        store = evidence_store.EvidenceStore(move_id="m")
        self.assertFalse(store.add(report("n1", 1, 10, move_id="x"), now_s=0.5))


class TestEvidenceCounter(unittest.TestCase):
    def test_cold_calls_have_no_latency(self):
        """Cold calls count as calls and errors; their latency is ignored."""
        counter = evidence_counter.EvidenceCounter()
        counter.record(
            "r", "v2", is_error=True, latency_ms=900.0, is_warm=False
        )
        counter.record("r", "v2", is_error=False, latency_ms=1.0, is_warm=True)
        (entry,) = counter.report()
        self.assertEqual((entry.calls, entry.errors), (2, 1))
        self.assertEqual(entry.warm_calls, 1)
        self.assertEqual(entry.latency_buckets, ((16, 1),))

    def test_warm_after_time_and_calls(self):
        """A target is cold until 10 s and 20 calls have passed."""
        clock = manual_clock.ManualClock()
        warm = warm_up.WarmUp(clock=clock)
        self.assertFalse(any(warm.is_warm() for _ in range(15)))
        clock.advance(10.0)
        self.assertEqual(
            [warm.is_warm() for _ in range(6)], [False] * 5 + [True]
        )

    def test_buckets_cover_their_bounds(self):
        """The lower bound of each bucket lies in the bucket."""
        for index in range(1, 90):
            lower_ms = latency_buckets.lower_ms(index) * 1.001
            self.assertEqual(latency_buckets.index_of(lower_ms), index)
