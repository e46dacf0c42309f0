"""Tests of late, duplicate, unframed and malformed answers."""

import asyncio
import socket
import struct
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.links import http_client
from galenatack.links import large_bodies
from galenatack.links import target_connection

HEAD = b"HTTP/1.1 200 OK\r\nx-id: %s\r\n"


def framed(name, body):
    """Returns an answer with a content length."""
    return (HEAD % name) + b"content-length: %d\r\n\r\n%s" % (len(body), body)


def run(scenario, *answers):
    """Runs a scenario; each request gets the next of `answers`.

    An answer is a pair of its bytes and what follows: "", "close" or "reset".
    """
    scripted = list(answers)

    async def serve(reader, writer):
        while scripted:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            sent, ending = scripted.pop(0)
            writer.write(sent)
            await writer.drain()
            if ending == "close":
                writer.close()
                return
            if ending == "reset":
                raw = writer.get_extra_info("socket")
                # SO_LINGER with a zero timeout makes the close a reset.
                linger = struct.pack("ii", 1, 0)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http_client.HttpClient(
            address=f"127.0.0.1:{port}",
            max_connections=4,
            connect_timeout_s=1.0,
            max_answer_bytes=10_000,
        )
        async with asyncio.timeout(5):
            await scenario(client)
        await client.close()
        server.close()

    asyncio.run(main())


def receive(connection, data):
    """Hands bytes to a connection, in reads of the size that it asks for."""
    while data:
        buffer = connection.get_buffer(-1)
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        connection.buffer_updated(count)
        data = data[count:]


def ask(client, name):
    """Sends a request and accepts only its own answer."""
    return client.request(
        "GET", "/", is_answer=lambda headers: (b"x-id", name) in list(headers)
    )


class TestSurplusAnswers(unittest.TestCase):
    def test_a_late_second_answer_is_skipped(self):
        """It arrives where the next answer is expected."""

        async def scenario(client):
            self.assertEqual((await ask(client, b"1")).body, b"one")
            self.assertEqual((await ask(client, b"2")).body, b"two")

        run(
            scenario,
            (framed(b"1", b"one"), ""),
            (framed(b"1", b"one") + framed(b"2", b"two"), ""),
        )

    def test_a_long_answer_that_is_skipped_does_not_end_the_next_one(self):
        """Its bytes count for itself, wherever a read ends."""
        own = b"k" * 1_000

        async def main(first_bytes):
            connection = target_connection.TargetConnection(
                max_answer_bytes=400_000,
                large_bodies=large_bodies.LargeBodies(max_bytes=400_000),
            )
            connection.connection_made(mock.Mock())
            asking = asyncio.create_task(
                connection.exchange(
                    b"", is_answer=lambda headers: (b"x-id", b"2") in headers
                )
            )
            await asyncio.sleep(0)
            sent = framed(b"1", b"o" * 300_000) + framed(b"2", own)
            receive(connection, sent[:first_bytes])
            receive(connection, sent[first_bytes:])
            return await asking

        for first_bytes in (299_000, 300_300):
            self.assertEqual(asyncio.run(main(first_bytes)).body, own)

    def test_long_answers_to_others_without_end_are_not_read(self):
        """The limit on one answer holds for all that are skipped."""

        async def scenario(client):
            with self.assertRaises(exceptions.TargetAnswerLostError):
                await ask(client, b"2")

        others = framed(b"1", b"o" * 6_000) * 2
        run(scenario, (others + framed(b"2", b"own"), ""))

    def test_bytes_after_an_answer_close_the_connection(self):
        """The next request uses another connection."""

        async def scenario(client):
            self.assertEqual((await ask(client, b"1")).body, b"one")
            self.assertEqual((await ask(client, b"2")).body, b"two")

        run(
            scenario,
            (framed(b"1", b"one") + b"rubbish", ""),
            (framed(b"2", b"two"), ""),
        )

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        """A clean close completes it."""

        async def scenario(client):
            answer = await ask(client, b"1")
            self.assertEqual(answer.body, b"all of it")

        run(scenario, (HEAD % b"1" + b"\r\nall of it", "close"))

    def test_an_answer_that_is_reset_is_lost(self):
        """A truncated answer must not look complete."""

        async def scenario(client):
            with self.assertRaises(exceptions.TargetAnswerLostError):
                await ask(client, b"1")

        run(scenario, (HEAD % b"1" + b"\r\npart of it", "reset"))

    def test_an_answer_that_ends_early_is_lost(self):
        """It has fewer bytes than its content length."""

        async def scenario(client):
            with self.assertRaises(exceptions.TargetAnswerLostError):
                await ask(client, b"1")

        run(scenario, (framed(b"1", b"whole")[:-2], "close"))

    def test_a_malformed_answer_is_lost(self):
        """The request may have run."""

        async def scenario(client):
            with self.assertRaises(exceptions.TargetAnswerLostError):
                await ask(client, b"1")

        run(scenario, (b"what is this\r\n\r\n", ""))
