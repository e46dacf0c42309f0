"""Tests of the checks at the end of a soak run."""

import unittest

from soak import attempt
from soak import plan
from soak import promises
from soak import record


def call(**more):
    """Returns a served posting with changed fields."""
    fields = {
        "attempt_id": "one",
        "node": 0,
        "life": 1,
        "is_posting": True,
        "sent_s": 10.0,
        "ended_s": 10.1,
        "status": 200,
        "is_own": True,
        "stamp": "t.one",
    }
    return attempt.Attempt(**(fields | more))


class TestPromises(unittest.TestCase):
    def setUp(self):
        self.seen = record.Record()
        self.seen.versions_s[1] = 0.0

    def ran(self, *times_s, target="t"):
        """Records runs of the attempt."""
        for at_s in times_s:
            self.seen.runs["one"].append(record.Run(at_s, target))

    def check(self, *names, calm_from_s=100.0):
        """Checks which promises are reported as broken."""
        findings = promises.check(self.seen, calm_from_s=calm_from_s)
        self.assertEqual(len(findings), len(names), findings)
        for line, name in zip(findings, names, strict=True):
            self.assertIn(name, line)

    def test_a_served_call_breaks_nothing(self):
        """It ran once and got its own answer."""
        self.seen.attempts.append(call())
        self.ran(10.05)
        self.check()

    def test_a_request_in_part_that_is_held_or_runs(self):
        """It is answered by its time-out, and it never runs."""
        self.seen.held.append(record.Span(10.0, 11.5, "part-one"))
        self.check("held past its time-out")
        self.seen.unplanned.append(record.Span(9.0, 9.5, "cut"))
        self.check()
        self.seen.runs["part-two"].append(record.Run(10.05, "t"))
        self.check("held past its time-out")

    def test_a_posting_that_ran_twice(self):
        """A posting must run at most once; a read may run twice."""
        self.seen.attempts.append(call())
        self.ran(10.05, 10.07)
        self.check("more than once")
        self.seen.attempts[0].is_posting = False
        self.check()

    def test_a_refusal_that_is_not_true(self):
        """A refused posting must not run, not even after the refusal."""
        self.seen.attempts.append(call(status=503, is_own=False))
        self.check()
        self.ran(12.0)
        self.check("said not to have")

    def test_an_answer_of_another_request(self):
        """An answer with status 200 must match its request."""
        self.seen.attempts.append(call(is_own=False))
        self.ran(10.05)
        self.check("another request")

    def test_a_proper_request_that_is_refused_for_good(self):
        """Every configuration of a run has the routes of its services."""
        self.seen.attempts.append(call(status=404, is_own=False))
        self.check("though proper")

    def test_a_request_that_was_cut_at_planned_work(self):
        """A request may be cut only near an unplanned fault."""
        self.seen.attempts.append(call(status=0, failure="ReadError"))
        self.ran(10.05)
        self.check("cut at planned work")
        self.seen.unplanned.append(record.Span(8.0, 9.0, "kill"))
        self.check()

    def test_a_request_that_reached_a_target_that_left(self):
        """Requests may reach a leaving target only during its drain time."""
        self.seen.attempts.append(call())
        self.ran(10.05)
        self.seen.left_s["t"] = 9.0
        self.check()
        self.seen.left_s["t"] = 7.0
        self.check("that left")

    def test_a_node_that_went_back(self):
        """A restarted process may run an older version."""
        self.seen.versions_s |= {2: 1.0, 3: 1.1}
        probes = [
            record.Probe(0, 1, 3, 2.0, True),
            record.Probe(0, 1, 2, 3.0, True),
        ]
        self.seen.probes = probes
        self.check("older version")
        self.seen.probes = [probes[0], probes[1]._replace(life=2)]
        self.check()

    def test_a_version_that_is_not_in_force_in_time(self):
        """The bound does not apply near an unplanned fault."""
        self.seen.versions_s[2] = 10.0
        self.seen.probes = [record.Probe(0, 1, 2, 12.0, False)]
        self.check()
        self.seen.probes = [record.Probe(0, 1, 2, 12.6, False)]
        self.check("not in force")
        self.seen.unplanned.append(record.Span(8.0, 9.0, "store-silent"))
        self.check()

    def test_a_version_that_is_late_beside_a_fault_of_the_readers(self):
        """Some nodes do not reach the store; the others bring the version."""
        self.seen.versions_s[2] = 10.0
        self.seen.readers.append(record.Span(9.0, 14.0, "readers-silent"))
        self.seen.probes = [record.Probe(0, 1, 2, 17.4, False)]
        self.check()
        self.seen.probes = [record.Probe(0, 1, 2, 17.6, False)]
        self.check("not in force")

    def test_a_call_that_is_not_served_after_all_faults(self):
        """Once the faults are over, the light load is served completely."""
        self.seen.attempts.append(call(status=503, is_own=False))
        self.check(calm_from_s=10.1)
        self.check("after all faults", calm_from_s=9.9)

    def test_a_verdict_that_is_missing_or_changes(self):
        """A restored store may lose the verdict for a moment."""
        self.seen.has_rollout = True
        for states, is_kept in (
            (["running"], False),
            (["running", "completed"], True),
            (["completed", "running", "completed"], True),
            (["completed", "running"], False),
            (["completed", "running", "rolled_back"], False),
        ):
            self.seen.states = [record.State(5.0, state) for state in states]
            self.check(*(() if is_kept else ("verdict",)))

    def test_a_version_that_is_used_after_it_was_taken_back(self):
        self.seen.states = [record.State(5.0, promises.ROLLED_BACK)]
        self.seen.runs["one"].append(record.Run(8.5, "t", "v2"))
        self.check()
        self.seen.runs["one"].append(record.Run(9.5, "t", "v2"))
        self.check("taken back")


class TestPlan(unittest.TestCase):
    def test_a_seed_gives_the_same_faults(self):
        """A seed determines the faults; another seed gives other ones."""
        one = plan.draw(seed=7, nodes=6, seconds=20.0)
        self.assertEqual(one, plan.draw(seed=7, nodes=6, seconds=20.0))
        self.assertNotEqual(one, plan.draw(seed=8, nodes=6, seconds=20.0))
        self.assertGreater(len(one), 10)
