"""Tests of the log writer with a slow or closed reader."""

import asyncio
import contextlib
import logging
import os
import time
import unittest

from galenatack.app import log_writer

LINE = "x" * 200


def make_logger(writer):
    """Returns a logger that writes to the writer only."""
    logger = logging.Logger("test")
    writer.setFormatter(logging.Formatter("%(message)s"))
    logger.addHandler(writer)
    return logger


class TestLogWriter(unittest.TestCase):
    def setUp(self):
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        self.writer = log_writer.LogWriter(descriptor=descriptor, max_lines=500)
        self.logger = make_logger(self.writer)

    def test_lines_arrive_in_order(self):
        """Lines are written together, in the order of their events."""

        async def main():
            for number in range(5):
                self.logger.info("line %d", number)
            await asyncio.sleep(2 * log_writer.FLUSH_S)

        asyncio.run(main())
        lines = os.read(self.reader, 65536).decode().splitlines()
        self.assertEqual(lines, [f"line {number}" for number in range(5)])

    def test_a_stopped_reader_does_not_block(self):
        """With a full pipe, lines are dropped and counted without blocking."""

        async def main():
            longest_s = 0.0
            for _ in range(100):
                began_s = time.perf_counter()
                for _ in range(100):
                    self.logger.info(LINE)
                longest_s = max(longest_s, time.perf_counter() - began_s)
                await asyncio.sleep(0)
            return longest_s

        longest_s = asyncio.run(main())
        self.assertGreater(self.writer.dropped, 8000)
        # A blocked write would never return.
        self.assertLess(longest_s, 1.0)

    def test_the_loss_is_logged_once_there_is_room(self):
        """A line gives the number of dropped lines."""
        for _ in range(2000):
            self.logger.info(LINE)
        lost = self.writer.dropped
        self.assertGreater(lost, 0)
        os.set_blocking(self.reader, False)
        output = b""
        for _ in range(50):
            with contextlib.suppress(BlockingIOError):
                output += os.read(self.reader, 65536)
            self.writer.flush()
        self.assertIn(b"event=log-lines-lost lines=%d" % lost, output)

    def test_a_closed_reader_raises_nothing(self):
        """A closed pipe drops the lines."""
        reader, descriptor = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, descriptor)
        writer = log_writer.LogWriter(descriptor=descriptor)
        make_logger(writer).info(LINE)
        self.assertEqual(writer.dropped, 0)
