"""Tests of the final answer after the attempts of a request."""

import unittest

from galenatack import exceptions
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import outcome
from galenatack.routing import local_replies
from galenatack.traffic import request_attempts
from tests.placement import fleet_load

ANSWER_500 = call_result.CallResult(
    outcome.Outcome.ANSWER.value, 500, (), b"", has_reached_target=True
)
REFUSED = local_replies.not_run(
    exceptions.OverloadedError("full", retry_after_ms=90)
)
LOST = local_replies.unknown(exceptions.TargetAnswerLostError("reset"))
SHED = local_replies.not_run(exceptions.TargetShedError("full"))._replace(
    has_reached_target=True
)
NO_TARGET = local_replies.not_run(exceptions.NoTargetError("none is left"))


def final(*sends, last):
    """Returns the attempts and the final answer."""
    attempts = request_attempts.RequestAttempts(
        request=caller_request.CallerRequest("r", "GET", "h", "/", (), b"", 0),
        route=fleet_load.route(),
        service="s",
        config_version=1,
        deadline_s=1.0,
    )
    for number, result in enumerate(sends):
        attempts.add(f"n{number}", result)
    return attempts, attempts.final(last)


class TestRequestAttempts(unittest.TestCase):
    def test_a_call_that_may_have_run_is_never_reported_as_not_run(self):
        """A refusal after a lost answer does not hide the first attempt."""
        _, result = final(LOST, REFUSED, last=REFUSED)
        self.assertEqual(result.status, 502)
        _, result = final(LOST, last=NO_TARGET)
        self.assertEqual(result.outcome, outcome.Outcome.UNKNOWN)

    def test_an_answer_of_a_target_precedes_a_failure_of_the_mesh(self):
        """The target's own failure is passed on unchanged."""
        _, result = final(ANSWER_500, LOST, last=LOST)
        self.assertIs(result, ANSWER_500)

    def test_a_refusal_of_a_gate_has_a_retry_time(self):
        """A refusal of a gate has precedence over a lack of targets."""
        _, result = final(REFUSED, last=NO_TARGET)
        self.assertEqual((result.status, result.retry_after_ms), (503, 90))

    def test_attempts_that_reached_a_target_are_counted(self):
        """A refusal of a target is an arrival, one of a gate is not."""
        attempts, _ = final(REFUSED, SHED, LOST, last=LOST)
        self.assertEqual((attempts.arrivals, attempts.refusals), (2, 2))
