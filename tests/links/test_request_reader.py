"""Tests of the reader of requests at the level of bytes."""

import unittest

from galenatack.links import connection_limits
from galenatack.links import request_reader

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


def read(*parts, **limits):
    """Returns the targets of the requests in some reads, and refusals."""
    targets = []
    refusals = []
    reader = request_reader.RequestReader(
        limits=connection_limits.ConnectionLimits(**limits),
        on_request=lambda request, **_: targets.append(request.target),
        on_refused=refusals.append,
        on_continue=lambda: None,
    )
    for part in parts:
        if reader.is_open:
            reader.feed(part)
    return targets, refusals


class TestRequestReader(unittest.TestCase):
    def test_small_requests_read_together_are_not_refused_as_too_large(self):
        """A read ends inside the head of one of many small requests."""
        count = 5000
        data = b"".join(GET % number for number in range(count))
        for first_bytes in (20_000, 99_999, len(data) - 5):
            targets, refusals = read(data[:first_bytes], data[first_bytes:])
            self.assertEqual(refusals, [])
            self.assertEqual(targets, [f"/{n}" for n in range(count)])

    def test_a_long_body_does_not_count_for_the_head_of_the_next_request(self):
        """The head of the next request is in the same read as the body."""
        put = (
            b"PUT /0 HTTP/1.1\r\ncontent-length: 60000\r\n\r\n" + b"b" * 60_000
        )
        for head_bytes in range(1, len(GET), 9):
            get = GET % 1
            targets, refusals = read(put + get[:head_bytes], get[head_bytes:])
            self.assertEqual((targets, refusals), (["/0", "/1"], []))

    def test_a_head_that_does_not_end_is_refused(self):
        """In one read, and behind another request."""
        endless = b"GET / HTTP/1.1\r\nx: " + b"a" * 40_000
        for parts in ((endless,), (GET % 0 + endless,), (GET % 0, endless)):
            targets, refusals = read(*parts)
            self.assertEqual(targets, [] if parts[0] is endless else ["/0"])
            self.assertEqual(refusals, [request_reader.HEADERS_TOO_LARGE])
