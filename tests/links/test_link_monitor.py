"""Tests of the link monitor."""

import types
import unittest

from galenatack import exceptions
from galenatack.links import link_monitor
from galenatack.links import link_registry
from galenatack.links import message_codec
from galenatack.messages import heartbeat
from tests.fakes import manual_clock


class TestLinkMonitor(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.monitor = link_monitor.LinkMonitor(
            registry=link_registry.LinkRegistry(own_id="a"),
            clock=self.clock,
            heartbeat_source=lambda: heartbeat.Heartbeat(7, 0, 0),
        )

    def test_a_new_link_gets_a_heartbeat_at_once(self):
        """Its digests show a starting node which state it lacks."""
        sent = []
        link = types.SimpleNamespace(
            heartbeat_sent_s=-1.0,
            post_frame=lambda frame, kind: sent.append(frame),
        )
        self.monitor.send_first_heartbeat(link)
        message = message_codec.decode(sent[0]).message
        self.assertEqual(message, heartbeat.Heartbeat(7, 0, 0))
        self.assertEqual(link.heartbeat_sent_s, self.clock.monotonic_s())

    def test_a_link_that_closed_meanwhile_is_ignored(self):
        """The close is handled elsewhere."""

        def post_frame(frame, kind):
            raise exceptions.PeerUnreachableError("closed")

        link = types.SimpleNamespace(
            heartbeat_sent_s=-1.0, post_frame=post_frame
        )
        self.monitor.send_first_heartbeat(link)
