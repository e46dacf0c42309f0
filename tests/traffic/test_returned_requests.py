"""Tests of the recognition of callers that come back after a refusal."""

import unittest

from galenatack.model import caller_request
from galenatack.traffic import returned_requests
from tests.fakes import manual_clock


def request(deadline_ms, *, body=b"1", request_id="a"):
    """Returns a request of a caller that waits for a time."""
    return caller_request.CallerRequest(
        request_id, "POST", "h", "/orders/", (), body, deadline_ms
    )


class TestReturnedRequests(unittest.TestCase):
    def setUp(self):
        self.returned = returned_requests.ReturnedRequests(
            clock=manual_clock.ManualClock()
        )
        self.returned.note_refused(request(1000), first_s=10.0, now_s=10.0)

    def test_a_caller_that_comes_back_has_waited(self):
        """It would go first, with the nearest deadline, and be late."""
        again = request(690, request_id="b")
        self.assertEqual(self.returned.arrived_s(again, 10.3), 10.0)
        self.returned.note_refused(again, first_s=10.0, now_s=10.3)
        third = request(400, request_id="c")
        self.assertEqual(self.returned.arrived_s(third, 10.6), 10.0)

    def test_a_call_of_a_target_has_not_waited(self):
        """Its deadline is what is left of that of its parent."""
        nested = request(400)
        self.assertEqual(self.returned.arrived_s(nested, 10.3), 10.3)

    def test_another_request_has_not_waited(self):
        other = request(700, body=b"2")
        self.assertEqual(self.returned.arrived_s(other, 10.3), 10.3)

    def test_the_same_request_of_another_caller_has_not_waited(self):
        """It has as much time as the first one had."""
        self.assertEqual(self.returned.arrived_s(request(1000), 10.01), 10.01)

    def test_requests_are_forgotten_at_their_deadline(self):
        """Refusals would fill the memory in a long shortage."""
        self.returned.arrived_s(request(1000), 11.1)
        self.assertEqual(len(self.returned), 0)
        for number in range(5000):
            self.returned.note_refused(
                request(1000, body=b"%d" % number), first_s=12.0, now_s=12.0
            )
        self.assertEqual(len(self.returned), returned_requests.MAX_REQUESTS)
