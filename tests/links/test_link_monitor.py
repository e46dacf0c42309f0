"""Tests of heartbeats."""

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
        """A node that starts learns from it what it lacks."""
        sent = []
        link = types.SimpleNamespace(
            beat_s=-1.0, post_frame=lambda frame, kind: sent.append(frame)
        )
        self.monitor.send_first_heartbeat(link)
        message = message_codec.decode(sent[0]).message
        self.assertEqual(message, heartbeat.Heartbeat(7, 0, 0))
        self.assertEqual(link.beat_s, self.clock.monotonic_s())

    def test_a_link_that_ended_meanwhile_is_no_failure(self):
        """Its end is noted elsewhere."""

        def post_frame(frame, kind):
            raise exceptions.PeerUnreachableError("closed")

        link = types.SimpleNamespace(beat_s=-1.0, post_frame=post_frame)
        self.monitor.send_first_heartbeat(link)
