"""Tests of the account of what clients hold, without a network."""

import unittest

from galenatack.clients import client_account
from galenatack.clients import client_bounds
from galenatack.clients import connection_holding
from galenatack.clients import connection_slots
from galenatack.clients import request_size

LIMIT_BYTES = 1_000_000
ORDINARY_LINES = (("x" * 20, "v" * 140),) * 100


class _Client:
    def __init__(self, account, waiting_bytes=0):
        self.account = account
        self.is_ending = False
        self.waiting_bytes = waiting_bytes
        self.was_shed = False

    def hold(self, held_bytes):
        self.account.update(self, held_bytes)

    def shed(self):
        self.was_shed = True
        if self.waiting_bytes:
            self.account.update(self, 0)
        else:
            # Its requests end later.
            self.is_ending = True


class _Connection:
    def __init__(self, connections, last_active_s, *, served, unanswered=0):
        self.has_served = served
        self.unanswered = unanswered
        self.last_active_s = last_active_s
        self._connections = connections
        connections.append(self)

    def abort(self):
        self._connections.remove(self)


def make_account(held_bytes=LIMIT_BYTES):
    """Returns an account with a limit on memory."""
    bounds = client_bounds.derive(memory_mb=0, max_fds=0)
    return client_account.ClientAccount(
        bounds=bounds._replace(held_bytes=held_bytes), now_s=lambda: 0.0
    )


class TestClientAccount(unittest.TestCase):
    def test_the_biggest_holder_makes_room(self):
        """Small clients are not refused for the memory of a big one."""
        account = make_account()
        big, small, newest = (_Client(account) for _ in range(3))
        big.hold(900_000)
        small.hold(50_000)
        newest.hold(60_000)
        shed = [client.was_shed for client in (big, small, newest)]
        self.assertEqual(shed, [True, False, False])

    def test_requests_that_are_ending_take_no_further_client(self):
        """Their memory is free soon: others are not shed for it too."""
        account = make_account()
        big, small = _Client(account), _Client(account)
        big.hold(900_000)
        small.hold(120_000)
        small.hold(130_000)
        self.assertTrue(big.was_shed)
        self.assertFalse(small.was_shed)

    def test_a_newcomer_waits_for_no_memory_that_is_not_free_yet(self):
        """Many heads arrive in one turn of the loop, none ends within it."""
        account = make_account()
        running = [_Client(account) for _ in range(5)]
        for client in running:
            client.hold(190_000)
        arriving = [_Client(account, 400_000) for _ in range(50)]
        for client in arriving:
            client.hold(400_000)
        self.assertTrue(all(client.was_shed for client in arriving))
        self.assertLessEqual(account.held_bytes, LIMIT_BYTES)

    def test_a_request_begins_only_if_there_is_room(self):
        """A request that is refused has not run; small ones always run."""
        account = make_account()
        _Client(account).hold(900_000)
        self.assertFalse(account.has_room(200_000))
        self.assertTrue(account.has_room(client_account.SMALL_BYTES))

    def test_what_a_closed_client_held_is_given_back(self):
        """Otherwise the account would fill and refuse all for good."""
        account = make_account()
        holding = connection_holding.ConnectionHolding(
            account=account, on_shed=lambda: None
        )
        holding.update(waiting_bytes=100, unsent_bytes=10)
        holding.begin(1_000)
        holding.update_closed()
        self.assertEqual(account.held_bytes, 1_000)
        holding.end(1_000)
        holding.update_closed()
        self.assertEqual(account.held_bytes, 0)


class TestRequestSize(unittest.TestCase):
    def test_each_part_of_a_request_counts(self):
        """A long path, many empty headers and a body are kept alike."""
        empty_bytes = request_size.of_running("", (), b"")
        for target, headers, body in (
            ("/" * 16_000, (), b""),
            ("", (("a", ""),) * 100, b""),
            ("", (), bytes(16_000)),
        ):
            size_bytes = request_size.of_running(target, headers, body)
            self.assertGreaterEqual(size_bytes, empty_bytes + 32_000)


class TestBounds(unittest.TestCase):
    def test_pooled_clients_meet_no_limit_on_the_smallest_machine(self):
        """A few hundred connections with three ordinary requests each."""
        bounds = client_bounds.derive(memory_mb=200, max_fds=4_100)
        request_bytes = request_size.of_running("/x", ORDINARY_LINES, b"")
        connection_bytes = connection_holding.CONNECTION_BYTES
        held_bytes = 300 * (connection_bytes + 3 * request_bytes)
        self.assertLess(held_bytes, bounds.held_bytes)
        self.assertLess(300, bounds.caller_connections)
        self.assertLess(request_bytes, client_account.SMALL_BYTES)

    def test_bounds_leave_room_on_all_machines(self):
        """Clients get no memory or descriptors that the node itself needs."""
        for memory_mb, max_fds in ((200, 4_100), (552, 8_192)):
            with self.subTest(memory_mb=memory_mb):
                bounds = client_bounds.derive(
                    memory_mb=memory_mb, max_fds=max_fds
                )
                sockets = (
                    bounds.caller_connections
                    + 3 * bounds.own_connections
                    + bounds.handshakes
                    + bounds.links
                )
                self.assertLess(sockets, (max_fds - 200) * 0.95)
                own_bytes = client_bounds.OWN_MEMORY_MB << 20
                self.assertLess(
                    bounds.held_bytes * 1.5 + own_bytes, memory_mb << 20
                )


class TestConnectionSlots(unittest.TestCase):
    def make_slots(self):
        return connection_slots.ConnectionSlots(
            account=make_account(), max_connections=3
        )

    def test_the_connection_that_never_served_goes_first(self):
        """Silent crowds push out no pooled connection of an ordinary caller."""
        connections = []
        pooled = _Connection(connections, 1.0, served=True)
        busy = _Connection(connections, 0.0, served=True, unanswered=1)
        _Connection(connections, 5.0, served=False)
        self.assertTrue(self.make_slots().make_room(connections))
        self.assertEqual(connections, [pooled, busy])

    def test_running_requests_are_not_cut_for_a_new_connection(self):
        """If all connections run requests, the new one is not taken."""
        connections = []
        for _ in range(3):
            _Connection(connections, 0.0, served=True, unanswered=1)
        self.assertFalse(self.make_slots().make_room(connections))
        self.assertEqual(len(connections), 3)

    def test_the_connection_with_most_requests_goes_if_none_is_idle(self):
        """Clients that pipeline all the time would keep all others out."""
        connections = []
        single = _Connection(connections, 0.0, served=True, unanswered=1)
        _Connection(connections, 1.0, served=True, unanswered=20)
        pair = _Connection(connections, 0.0, served=True, unanswered=2)
        self.assertTrue(self.make_slots().make_room(connections))
        self.assertEqual(connections, [single, pair])


if __name__ == "__main__":
    unittest.main()
