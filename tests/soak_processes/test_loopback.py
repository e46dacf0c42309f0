"""Tests of the choice of loopback addresses."""

import socket
import unittest

from soak import loopback
from soak import node_process


class TestLoopback(unittest.TestCase):
    def test_addresses_of_another_run_are_not_used(self):
        """Two runs would answer each other's requests."""
        base = loopback.free_base(seed=1, nodes=2)
        address = (f"127.{base}.0.2", node_process.CONTROL_PORT)
        with socket.create_server(address):
            self.assertNotEqual(loopback.free_base(seed=1, nodes=2), base)
