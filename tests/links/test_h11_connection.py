"""Tests of HTTP/1.1 connections of the HTTP listener."""

import asyncio
import unittest

import uvloop

from galenatack.links import h11_connection

_KEEP_ALIVE_S = 0.05
_POLLS = 100
_POLL_S = 0.01
_REQUEST = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"


async def _echo_app(scope, receive, send) -> None:
    """Echoes the path and the body."""
    body = scope["raw_path"]
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
        body += message["body"]
        if not message["more_body"]:
            break
    if scope["raw_path"] == b"/fault":
        raise ValueError("application failure")
    length = (b"content-length", b"%d" % len(body))
    await send(
        {"type": "http.response.start", "status": 200, "headers": [length]}
    )
    await send({"type": "http.response.body", "body": body})


class TestH11Connection(unittest.TestCase):
    def _exchange(self, *sent: bytes, read_first: int = 0) -> bytes:
        """Sends parts and returns everything received until the close."""

        async def main(read_first):
            connections = set()
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda: h11_connection.H11Connection(
                    app=_echo_app,
                    connections=connections,
                    keep_alive_s=_KEEP_ALIVE_S,
                    hand_over=lambda transport, data: transport.close(),
                ),
                "127.0.0.1",
                0,
            )
            address = server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            received = b""
            for part in sent:
                writer.write(part)
                if read_first:
                    received += await reader.readexactly(read_first)
                    read_first = 0
            received += await asyncio.wait_for(reader.read(), 5)
            writer.close()
            server.close()
            for _ in range(_POLLS):
                await asyncio.sleep(_POLL_S)
                if not connections:
                    break
            self.assertFalse(connections)
            return received

        for factory in (None, uvloop.new_event_loop):
            with asyncio.Runner(loop_factory=factory) as runner:
                response = runner.run(main(read_first))
        return response

    def test_a_request_in_absolute_form_is_not_an_unknown_path(self):
        """Clients send this form to a proxy."""
        received = self._exchange(
            b"GET http://b.example/1 HTTP/1.1\r\nhost: a\r\n\r\n"
        )
        self.assertTrue(received.endswith(b"\r\n\r\n/1"), received)

    def test_pipelined_requests_are_answered_in_order(self):
        """Pipelined requests must not get each other's answers."""
        answer = self._exchange(b"".join(_REQUEST % n for n in range(5)))
        paths = [part[:2] for part in answer.split(b"\r\n\r\n")[1:]]
        self.assertEqual(paths, [b"/%d" % number for number in range(5)])

    def test_request_in_pieces(self):
        """A request that arrives byte by byte loses no bytes."""
        request = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
        parts = [request[at : at + 1] for at in range(len(request))]
        self.assertTrue(self._exchange(*parts).endswith(b"/xabc"))

    def test_many_pipelined_requests(self):
        """Many pipelined requests are all answered.

        They wait in the kernel's buffers rather than in memory of the process.
        """
        body = b"z" * 50_000
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
        head %= len(body)
        answer = self._exchange(*[head + body] * 40)
        self.assertEqual(answer.count(b"/x" + body), 40)

    def test_body_is_requested(self):
        """A caller that expects `100 Continue` gets it and does not stall."""
        interim = b"HTTP/1.1 100 \r\n\r\n"
        head = (
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
            b"expect: 100-continue\r\n\r\n"
        )
        answer = self._exchange(head, b"y", read_first=len(interim))
        self.assertTrue(answer.startswith(interim))
        self.assertTrue(answer.endswith(b"/xy"))

    def test_malformed_request_is_refused(self):
        """Malformed requests get a 400 and a close (request smuggling)."""
        for bad in (
            b"nonsense\r\n\r\n" + _REQUEST % 1,
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
            b"content-length: 2\r\n\r\nabc",
        ):
            answer = self._exchange(bad)
            self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
            self.assertEqual(answer.count(b"HTTP/1.1"), 1)

    def test_a_request_with_two_lengths_is_refused(self):
        """Its body could smuggle a second request."""
        received = self._exchange(
            b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n" + _REQUEST % 1
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "))
        self.assertEqual(received.count(b"HTTP/1.1"), 1)

    def test_application_failure_is_a_500(self):
        """A request whose handler raises gets a 500 and does not hang."""
        with self.assertLogs("galenatack", "ERROR"):
            answer = self._exchange(b"GET /fault HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 500"))

    def test_idle_connection_is_closed(self):
        """A connection with an incomplete request is not leaked."""
        self.assertEqual(self._exchange(b"GET /x HT"), b"")
