"""Tests of the reader of requests at the level of bytes."""

import tracemalloc
import unittest

from galenatack.links import connection_limits
from galenatack.links import request_reader

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


def read(*parts, **limits):
    """Returns the targets of the requests in some reads, and refusals."""
    requests, refusals = read_requests(*parts, **limits)
    return [request.target for request in requests], refusals


def read_requests(*parts, **limits):
    """Returns the requests in some reads, and the statuses of refusals."""
    requests = []
    refusals = []
    reader = request_reader.RequestReader(
        limits=connection_limits.ConnectionLimits(**limits),
        on_request=lambda request, **_: requests.append(request),
        on_refused=refusals.append,
        on_continue=lambda: None,
    )
    for part in parts:
        if reader.is_open:
            reader.feed(part)
    return requests, refusals


class TestRequestReader(unittest.TestCase):
    def test_small_requests_read_together_are_not_refused_as_too_large(self):
        """A read ends inside the head of one of many small requests."""
        count = 5000
        data = b"".join(GET % number for number in range(count))
        for first_bytes in (20_000, 99_999, len(data) - 5):
            targets, refusals = read(data[:first_bytes], data[first_bytes:])
            self.assertEqual(refusals, [])
            self.assertEqual(targets, [f"/{n}" for n in range(count)])

    def test_a_body_announced_over_the_limit_is_refused_at_its_head(self):
        """Its sender would make the node keep all bytes up to the limit."""
        head = b"PUT /0 HTTP/1.1\r\nexpect: 100-continue\r\n"
        for size, expected in ((1001, [413]), (1000, [])):
            _, refusals = read(
                head + b"content-length: %d\r\n\r\n" % size,
                max_body_bytes=1000,
            )
            self.assertEqual(refusals, expected)

    def test_a_long_body_does_not_count_for_the_head_of_the_next_request(self):
        """The head of the next request is in the same read as the body."""
        put = (
            b"PUT /0 HTTP/1.1\r\ncontent-length: 60000\r\n\r\n" + b"b" * 60_000
        )
        for head_bytes in range(1, len(GET), 9):
            get = GET % 1
            targets, refusals = read(put + get[:head_bytes], get[head_bytes:])
            self.assertEqual((targets, refusals), (["/0", "/1"], []))

    def test_a_head_at_the_limit_behind_other_requests_is_not_refused(self):
        """A read ends inside it, and its piece holds an earlier request."""
        limit_bytes = 16_384
        start = b"GET /1 HTTP/1.1\r\nx: "
        head = start.ljust(limit_bytes - 4, b"a") + b"\r\n\r\n"
        for before in (
            GET % 0,
            b"PUT /0 HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
        ):
            data = before + head
            targets, refusals = read(
                data[:-1], data[-1:], max_header_bytes=limit_bytes
            )
            self.assertEqual((targets, refusals), (["/0", "/1"], []))

    def test_a_head_that_does_not_end_is_refused(self):
        """In one read, and behind another request."""
        endless = b"GET / HTTP/1.1\r\nx: " + b"a" * 40_000
        for parts in ((endless,), (GET % 0 + endless,), (GET % 0, endless)):
            targets, refusals = read(*parts)
            self.assertEqual(targets, [] if parts[0] is endless else ["/0"])
            self.assertEqual(refusals, [request_reader.HEADERS_TOO_LARGE])

    def test_a_body_in_many_small_pieces_does_not_hold_the_event_loop(self):
        """Each piece costs as much time as a long one; few are parsed."""
        refusals = []
        reader = request_reader.RequestReader(
            limits=connection_limits.ConnectionLimits(),
            on_request=self.fail,
            on_refused=refusals.append,
            on_continue=lambda: None,
        )
        reader.feed(b"PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n")
        pieces = 0
        while reader.is_open:
            reader.feed(b"1\r\na\r\n")
            pieces += 1
        self.assertEqual(refusals, [request_reader.BAD_REQUEST])
        self.assertLess(pieces, 10_000)

    def test_a_request_in_absolute_form_is_not_an_unknown_route(self):
        """Clients send this form to a proxy; its host goes first."""
        for target, host, path in (
            (b"http://b.example/1?c=/d", "b.example", "/1?c=/d"),
            (b"HTTP://b.example:80", "b.example:80", "/"),
            (b"https://user@b.example?c", "b.example", "/?c"),
            (b"/http://b.example/", "a", "/http://b.example/"),
        ):
            data = b"GET %s HTTP/1.1\r\nHost: a\r\nx: y\r\n\r\n" % target
            (request,), refusals = read_requests(data)
            self.assertEqual(refusals, [])
            self.assertEqual(request.target, path)
            self.assertEqual(request.headers, (("host", host), ("x", "y")))

    def test_a_body_behind_an_offer_to_upgrade_is_not_run_as_a_request(self):
        """The offer is not taken; the next request is read as well."""
        body = b"PUT /quoted HTTP/1.1\r\ncontent-length: 0\r\n\r\n"
        head = (
            b"PUT /0 HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings"
            b"\r\nUpgrade: h2c\r\n"
        )
        with_length = b"content-length: %d\r\n\r\n%s" % (len(body), body)
        in_chunks = b"transfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
        for sent in (with_length, in_chunks % (len(body), body)):
            data = head + sent + GET % 1
            for read_bytes in (1, 7, len(data)):
                requests, refusals = read_requests(
                    *(
                        data[start : start + read_bytes]
                        for start in range(0, len(data), read_bytes)
                    )
                )
                self.assertEqual(refusals, [])
                self.assertEqual([r.body for r in requests], [body, b""])
                self.assertEqual([r.target for r in requests], ["/0", "/1"])

    def test_a_tunnel_is_not_parsed_again_and_again(self):
        """The parser ends its message like that of an offer to upgrade."""
        connect = b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"
        targets, refusals = read(connect + GET % 1)
        self.assertEqual((targets, refusals), (["a:1", "/1"], []))

    def test_a_line_end_behind_a_long_body_is_not_refused(self):
        """Servers ignore line ends before a request (RFC 9112, 2.2)."""
        size_bytes = 600_000
        put = b"PUT /0 HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size_bytes
        targets, refusals = read(put + bytes(size_bytes), b"\r\n", GET % 1)
        self.assertEqual((targets, refusals), (["/0", "/1"], []))

    def test_idle_connections_do_not_hold_the_last_body(self):
        """Some 70 idle connections held more than a node may use."""
        size_bytes = 1_000_000
        put = b"PUT / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size_bytes
        tracemalloc.start()
        try:
            readers = []
            for _ in range(20):
                reader = request_reader.RequestReader(
                    limits=connection_limits.ConnectionLimits(),
                    on_request=lambda request, **_: None,
                    on_refused=self.fail,
                    on_continue=lambda: None,
                )
                reader.feed(put + b"b" * size_bytes)
                readers.append(reader)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(held_bytes, size_bytes)
