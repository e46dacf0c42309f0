"""Tests of the headers of calls to a target and of its answers."""

import unittest

from galenatack import exceptions
from galenatack.model import call_request
from galenatack.model import target_condition
from galenatack.model import target_load
from galenatack.platform import target_headers

REQUEST = call_request.CallRequest(
    call_id="c-1",
    service="s",
    route="r",
    method="PUT",
    path="/p/1",
    headers=(("host", "h.example"), ("x-custom", "kept")),
    body=b"body",
    deadline_ms=700,
    posting=True,
    request_id="a1",
    caller_service="caller",
    target_id="i-1",
)
STAMPED = ((b"x-attempt-id", b"a1"), (b"x-upstream-stamp", b"s.1"))
REFUSALS = (
    (503, (b"x-not-executed", b"1")),
    (421, (b"x-instance-id", b"i-2")),
)


class TestTargetHeaders(unittest.TestCase):
    def setUp(self):
        self.dialect = target_headers.TargetHeaders()

    def test_a_call_has_target_deadline_and_caller_headers(self):
        """The headers that targets rely on are set for each call."""
        headers = dict(self.dialect.headers(REQUEST))
        self.assertEqual(headers[b"x-expected-instance"], b"i-1")
        self.assertEqual(headers[b"x-deadline-ms"], b"700")
        self.assertEqual(headers[b"x-caller-service"], b"caller")
        self.assertEqual(headers[b"x-attempt-id"], b"a1")
        self.assertEqual(headers[b"host"], b"h.example")
        self.assertEqual(headers[b"x-custom"], b"kept")

    def test_the_target_is_told_the_tenant_of_a_call(self):
        """A name beyond Latin-1 must not fail each call of its tenant."""
        self.assertNotIn(b"x-tenant", dict(self.dialect.headers(REQUEST)))
        for name in ("blue", "sinine \u0161"):
            call = REQUEST._replace(tenant=name)
            self.assertIn(
                (b"x-tenant", name.encode()), self.dialect.headers(call)
            )

    def test_an_answer_to_another_call_is_rejected(self):
        """A surplus answer has the identifier of another call."""
        other = ((b"x-attempt-id", b"a0"),)
        self.assertFalse(self.dialect.is_answer(REQUEST, other))
        self.assertTrue(self.dialect.is_answer(REQUEST, STAMPED))

    def test_only_an_answer_of_the_target_itself_answers_a_probe(self):
        """A late copy of a call's answer says how cold the target was."""
        own = (b"x-instance-id", b"i-1")
        cold = (b"x-warmup-ms", b"0")
        for headers, expected in (
            ((own, cold), True),
            ((cold,), False),
            ((own, cold, (b"x-attempt-id", b"a1")), False),
        ):
            with self.subTest(headers=headers):
                is_answer = self.dialect.is_probe_answer(headers)
                self.assertEqual(is_answer, expected)

    def test_only_the_target_can_report_that_a_call_did_not_run(self):
        """A 503 without that header is an ordinary answer."""
        for status, header in REFUSALS:
            with self.assertRaises(exceptions.TargetShedError):
                self.dialect.answer(REQUEST, status, (STAMPED[0], header), b"")
        answer = self.dialect.answer(REQUEST, 503, STAMPED, b"x")
        self.assertEqual(answer.status, 503)

    def test_a_refusal_without_the_identifier_of_the_call_is_no_refusal(self):
        """It may be an earlier refusal that the target wrote once more."""
        for status, header in REFUSALS:
            with self.assertRaises(exceptions.TargetAnswerLostError):
                self.dialect.answer(REQUEST, status, (header,), b"")
        unnamed = REQUEST._replace(request_id="")
        with self.assertRaises(exceptions.TargetShedError):
            self.dialect.answer(unnamed, 400, (REFUSALS[0][1],), b"")

    def test_a_success_without_the_targets_stamp_is_lost(self):
        """Such an answer is not the target's, so the call may have run."""
        for headers in ((), STAMPED[:1], STAMPED[1:]):
            with self.assertRaises(exceptions.TargetAnswerLostError):
                self.dialect.answer(REQUEST, 200, headers, b"x")

    def test_the_condition_of_a_target_is_read_from_any_answer(self):
        """An unreadable limit counts as none, another target's as nothing."""
        for headers, limit_per_s, is_leaving in (
            (((b"server-limit", b" 42.5"),), 42.5, False),
            (((b"server-limit", b"0"), (b"server-leaving", b"1")), 0.0, True),
            (((b"server-limit", b"-1"),), None, False),
            (((b"server-limit", b"inf"),), None, False),
            (((b"server-limit", b"x"), (b"server-leaving", b"0")), None, False),
        ):
            condition = self.dialect.condition(503, headers)
            self.assertEqual(
                condition,
                target_condition.TargetCondition(limit_per_s, is_leaving),
            )
            self.assertIsNone(self.dialect.condition(421, headers))

    def test_the_load_of_a_target_is_read_from_any_answer(self):
        """A malformed one counts as none: it is a divisor of times."""
        for value, expected in (
            (b"3,1,12,250", target_load.TargetLoad(3, 1, 12, 2.5)),
            (b" 3, 1 ,12", target_load.TargetLoad(3, 1, 12, 1.0)),
            (b"0,0,1,100", target_load.TargetLoad(0, 0, 1, 1.0)),
            (b"3,1,0,100", None),
            (b"3,1,12,0", None),
            (b"3,1", None),
            (b"3,1,12,100,7", None),
            (b"3,1,12,-5", None),
            (b"3,1,12,1.5", None),
            (b"3,1,12,nan", None),
            (b"3,1,12,99999999999999999999", None),
            (b"3,1,12,\xb2", None),
            (b"", None),
        ):
            headers = ((b"x-upstream-load", value),)
            condition = self.dialect.condition(200, headers)
            self.assertEqual(condition.load, expected, value)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        """The target's connection headers do not reach the caller."""
        answer = self.dialect.answer(
            REQUEST,
            200,
            (
                *STAMPED,
                (b"connection", b"close, x-hop"),
                (b"x-hop", b"1"),
                (b"keep-alive", b"timeout=5"),
                (b"content-length", b"1"),
            ),
            b"x",
        )
        names = {name for name, _ in answer.headers}
        self.assertEqual(names, {"x-attempt-id", "x-upstream-stamp"})

    def test_only_the_asked_target_says_how_long_it_stays_cold(self):
        """Any of its answers may; one that cannot be read says nothing."""
        own, other = (b"x-instance-id", b"i-1"), (b"x-instance-id", b"i-2")
        cases = (
            (200, (own, (b"x-warmup-ms", b"1500")), 1500),
            (503, ((b"x-warmup-ms", b"0.2"),), 1),
            (200, (own, (b"x-warmup-ms", b"0")), 0),
            (200, (own,), None),
            (200, (other, (b"x-warmup-ms", b"0")), None),
            (421, (own, (b"x-warmup-ms", b"0")), None),
            (200, (own, (b"x-warmup-ms", b"nan")), None),
            (200, (own, (b"x-warmup-ms", b"1e400")), None),
            (200, (own, (b"x-warmup-ms", b"-1")), None),
        )
        for status, headers, expected in cases:
            with self.subTest(status=status, headers=headers):
                cold_ms = self.dialect.cold_ms("i-1", status, headers)
                self.assertEqual(cold_ms, expected)
