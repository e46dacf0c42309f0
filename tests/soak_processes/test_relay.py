"""Tests of the relay that disturbs connections."""

import asyncio
import unittest

from soak import relay
from tests.mesh import small_fleet


class TestRelay(unittest.TestCase):
    def play(self, scenario):
        """Runs a scenario with a relay before an echo."""

        async def main():
            far, near = small_fleet.free_addresses(2)
            host, _, port = far.rpartition(":")
            server = await asyncio.start_server(_echo, host, int(port))
            item = relay.Relay(address=near, target=far)
            await item.start()
            host, _, port = near.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await scenario(item, reader, writer)
            finally:
                writer.close()
                await item.close()
                server.close()
                # The echo sees the end of its connection.
                await asyncio.sleep(0.05)

        asyncio.run(main())

    async def ask(self, reader, writer, *, seconds=0.3):
        """Returns whether an echo came in time."""
        writer.write(b"x")
        try:
            async with asyncio.timeout(seconds):
                return await reader.read(1) == b"x"
        except TimeoutError:
            return False

    def test_bytes_pass(self):
        """Both ways."""

        async def scenario(item, reader, writer):
            self.assertTrue(await self.ask(reader, writer, seconds=5.0))

        self.play(scenario)

    def test_silenced_directions_pass_nothing(self):
        """The connection stays open."""

        async def scenario(item, reader, writer):
            for mode in (relay.Mode.SILENT, relay.Mode.ONE_WAY):
                item.mode = mode
                self.assertFalse(await self.ask(reader, writer))
                self.assertFalse(reader.at_eof())

        self.play(scenario)

    def test_a_delay_holds_bytes_back(self):
        """They come later."""

        async def scenario(item, reader, writer):
            item.mode = relay.Mode.DELAY
            item.delay_s = 0.2
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            self.assertTrue(await self.ask(reader, writer, seconds=5.0))
            self.assertGreater(loop.time() - started_s, 0.39)

        self.play(scenario)

    def test_a_reset_ends_connections(self):
        """New ones are refused while told so."""

        async def scenario(item, reader, writer):
            self.assertTrue(await self.ask(reader, writer, seconds=5.0))
            item.mode = relay.Mode.REFUSE
            item.reset()
            with self.assertRaises(ConnectionResetError):
                await reader.readexactly(1)

        self.play(scenario)


async def _echo(reader, writer):
    try:
        while chunk := await reader.read(100):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()
