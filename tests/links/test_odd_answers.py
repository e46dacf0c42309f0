"""Tests of answers whose status line is no answer."""

import unittest

from galenatack import exceptions
from galenatack.links import translated_target
from galenatack.platform import target_headers
from tests.links import test_loopback
from tests.links import test_surplus_answers

FRAMING = (
    b"x-attempt-id: r1\r\nx-upstream-stamp: s\r\ncontent-length: 2\r\n\r\nok"
)
ODD_LINES = (
    b"HTTP/1.1 000 Nothing",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
)
OTHER_ATTEMPT = b"x-attempt-id: other\r\ncontent-length: 2\r\n\r\nno"
GOOD_LINES = (
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 000 Nothing\r\n" + OTHER_ATTEMPT + b"HTTP/1.1 200 OK",
)


def is_answer(headers):
    """Returns whether an answer belongs to the only attempt."""
    return (b"x-attempt-id", b"other") not in headers


class TestOddAnswers(unittest.TestCase):
    def test_a_status_that_is_none_is_a_broken_answer_at_once(self):
        """The caller does not wait its whole time-out for the answer."""
        for line in ODD_LINES:
            for method in ("GET", "POST", "HEAD"):

                async def scenario(client, method=method):
                    with self.assertRaises(exceptions.TargetAnswerLostError):
                        await client.request(method, "/", is_answer=is_answer)

                with self.subTest(line=line, method=method):
                    answer = line + b"\r\n" + FRAMING
                    test_surplus_answers.run(scenario, (answer, ""))

    def test_a_status_line_without_a_reason_is_an_answer(self):
        """Reasons are optional, and interim answers come before it."""
        for line in GOOD_LINES:

            async def scenario(client):
                answer = await client.request("GET", "/", is_answer=is_answer)
                self.assertEqual((answer.status, answer.body), (200, b"ok"))

            with self.subTest(line=line):
                answer = line + b"\r\n" + FRAMING
                test_surplus_answers.run(scenario, (answer, ""))

    def test_odd_answers_are_counted_and_logged_once_a_target(self):
        """A target in trouble sends many of them."""
        odd = ODD_LINES[0] + b"\r\n" + FRAMING

        async def scenario(client):
            target = translated_target.TranslatedTarget(
                address="127.0.0.1:1",
                dialect=target_headers.TargetHeaders(),
                max_connections=1,
                on_condition=lambda target_id, condition: None,
            )
            target._client = client
            with self.assertLogs("galenatack.links", "WARNING") as logs:
                for target_id in ("i-1", "i-1", "i-2"):
                    request = test_loopback._request(
                        target_id=target_id, request_id="r1"
                    )
                    with self.assertRaises(exceptions.TargetAnswerLostError):
                        await target.call(request)
            self.assertEqual(len(logs.output), 2)
            self.assertIn("event=target-answer-odd target=i-1", logs.output[0])
            self.assertEqual(target.odd_answers, 3)

        test_surplus_answers.run(scenario, (odd, ""), (odd, ""), (odd, ""))


if __name__ == "__main__":
    unittest.main()
