"""Tests of the relay with injectable network faults."""

import asyncio
import unittest

from soak import region_line
from soak import relay
from tests.mesh import small_fleet


class TestRelay(unittest.TestCase):
    def play(self, scenario):
        """Runs a scenario with a relay in front of an echo server."""

        async def main():
            server_address, relay_address = small_fleet.free_addresses(2)
            host, _, port = server_address.rpartition(":")
            server = await asyncio.start_server(_echo, host, int(port))
            tested_relay = relay.Relay(
                address=relay_address, target=server_address
            )
            await tested_relay.start()
            host, _, port = relay_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await scenario(tested_relay, reader, writer)
            finally:
                writer.close()
                await tested_relay.close()
                server.close()
                # Lets the echo server see the end of its connection.
                await asyncio.sleep(0.05)

        asyncio.run(main())

    async def ask(self, reader, writer, *, seconds=0.3):
        """Returns whether an echo arrived in time."""
        writer.write(b"x")
        try:
            async with asyncio.timeout(seconds):
                return await reader.read(1) == b"x"
        except TimeoutError:
            return False

    def test_bytes_pass(self):
        """Bytes pass in both directions."""

        async def scenario(tested_relay, reader, writer):
            self.assertTrue(await self.ask(reader, writer, seconds=5.0))

        self.play(scenario)

    def test_silenced_directions_pass_nothing(self):
        """A blocked connection passes no bytes but stays open."""

        async def scenario(tested_relay, reader, writer):
            for mode in (relay.Mode.SILENT, relay.Mode.ONE_WAY):
                tested_relay.mode = mode
                self.assertFalse(await self.ask(reader, writer))
                self.assertFalse(reader.at_eof())

        self.play(scenario)

    def test_a_lost_answer_ends_the_answers_of_its_connection(self):
        """A connection on which none was lost goes on."""

        async def scenario(tested_relay, reader, writer):
            host, _, port = tested_relay.address.rpartition(":")
            other = await asyncio.open_connection(host, int(port))
            self.assertTrue(await self.ask(*other, seconds=5.0))
            tested_relay.mode = relay.Mode.UNANSWERED
            self.assertFalse(await self.ask(reader, writer))
            tested_relay.mode = relay.Mode.PASS
            self.assertFalse(await self.ask(reader, writer))
            self.assertTrue(await self.ask(*other, seconds=5.0))
            other[1].close()

        self.play(scenario)

    def test_a_delay_holds_bytes_back(self):
        """Each direction delays its bytes."""

        async def scenario(tested_relay, reader, writer):
            tested_relay.mode = relay.Mode.DELAY
            tested_relay.delay_s = 0.2
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            self.assertTrue(await self.ask(reader, writer, seconds=5.0))
            self.assertGreater(loop.time() - started_s, 0.39)

        self.play(scenario)

    def test_a_line_delays_and_paces_all_bytes_together(self):
        async def scenario(tested_relay, reader, writer):
            line = region_line.RegionLine(delay_s=0.1, bits_per_s=8e5)
            tested_relay.lines_of = lambda client: (line, None)
            host, _, port = tested_relay.address.rpartition(":")
            loop = asyncio.get_running_loop()
            streams = [
                await asyncio.open_connection(host, int(port)) for _ in range(2)
            ]
            started_s = loop.time()
            for _, far_writer in streams:
                far_writer.write(b"x" * 10_000)
            for far_reader, far_writer in streams:
                await far_reader.readexactly(10_000)
                far_writer.close()
            # 20,000 bytes take 0.2 s on this line, whoever sends them.
            self.assertGreater(loop.time() - started_s, 0.29)

        self.play(scenario)

    def test_bytes_underway_do_not_wait_for_the_delay_of_others(self):
        async def scenario(tested_relay, reader, writer):
            line = region_line.RegionLine(delay_s=5.0, bits_per_s=8e3)
            first_s = line.arrival_s(1000)
            self.assertAlmostEqual(line.arrival_s(500) - first_s, 0.5)

        self.play(scenario)

    def test_a_reset_ends_connections(self):
        """A reset closes open connections while new ones are refused."""

        async def scenario(tested_relay, reader, writer):
            self.assertTrue(await self.ask(reader, writer, seconds=5.0))
            tested_relay.mode = relay.Mode.REFUSE
            tested_relay.reset()
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
