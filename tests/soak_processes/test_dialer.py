"""Tests of the search for the process that dials."""

import os
import socket
import unittest

from soak import dialer


class TestDialer(unittest.TestCase):
    def test_the_process_that_dials_is_found(self):
        with (
            socket.create_server(("127.0.0.1", 0)) as server,
            socket.create_connection(server.getsockname()) as client,
        ):
            ends = client.getsockname(), server.getsockname()
            pids = (os.getppid(), os.getpid())
            self.assertEqual(dialer.owner(*ends, pids), os.getpid())
            self.assertIsNone(dialer.owner(*ends, ()))

    def test_a_closed_connection_has_no_owner(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            with socket.create_connection(server.getsockname()) as client:
                ends = client.getsockname(), server.getsockname()
            self.assertIsNone(dialer.owner(*ends, (os.getpid(),)))
