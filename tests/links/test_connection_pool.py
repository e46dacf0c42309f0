"""Tests of the connection pool."""

import asyncio
import unittest

from galenatack import exceptions
from galenatack.links import connection_pool


class TestConnectionPool(unittest.TestCase):
    def test_a_port_out_of_range_is_a_failed_connection(self):
        """The address may come from another writer."""
        pool = connection_pool.ConnectionPool(
            host="127.0.0.1",
            port=99_999,
            max_connections=1,
            connect_timeout_s=1.0,
            max_answer_bytes=1,
        )
        with self.assertRaises(exceptions.TargetConnectError):
            asyncio.run(pool.acquire())
