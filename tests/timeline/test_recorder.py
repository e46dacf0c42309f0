"""Tests of the recorder and the SVG timeline."""

import unittest
import xml.etree.ElementTree

from galenatack.model import event
from galenatack.model import event_id
from galenatack.timeline import hybrid_clock
from galenatack.timeline import recorder
from galenatack.timeline import svg
from tests.fakes import manual_clock


def _recorder(**options):
    hlc = hybrid_clock.HybridClock(clock=manual_clock.ManualClock())
    return recorder.Recorder(node_id="n1", incarnation=7, hlc=hlc, **options)


class TestRecorder(unittest.TestCase):
    def test_bounded(self):
        """Only the newest events are stored, with their original numbers."""
        event_recorder = _recorder(capacity=3)
        for _ in range(10):
            event_recorder.record("tick")
        numbers = [item.event_id.number for item in event_recorder.events()]
        self.assertEqual(numbers, [8, 9, 10])

    def test_one_line(self):
        """Facts with spaces, quotes and line breaks stay on one line."""
        event_recorder = _recorder()
        with self.assertLogs("galenatack.events", "INFO") as logs:
            first = event_recorder.record(
                "accepted", profile="prices", version=3
            )
            event_recorder.record(
                "rejected", cause=first, reason='no "x"\nevent=y'
            )
        first_line, second_line = logs.records
        self.assertIn("event=accepted id=n1/7/1", first_line.getMessage())
        self.assertIn("profile=prices version=3", first_line.getMessage())
        text = second_line.getMessage()
        self.assertNotIn("\n", text)
        self.assertIn("cause=n1/7/1", text)
        self.assertIn(r'reason="no \"x\"\nevent=y"', text)


class TestSvg(unittest.TestCase):
    def test_well_formed(self):
        """The SVG is XML with one dot per event and one arrow per cause."""
        event_recorder = _recorder()
        first = event_recorder.record("accepted", text="<&>")
        event_recorder.record("held", cause=first)
        root = xml.etree.ElementTree.fromstring(
            svg.draw(event_recorder.events())
        )
        names = [element.tag.rpartition("}")[2] for element in root]
        self.assertEqual(names.count("circle"), 2)
        self.assertEqual(names.count("line"), 2)

    def test_long_names(self):
        """A long node id does not overlap its lane, and times are shown."""
        name = "purchases-v1-puerto-montt-a"
        identifier = event_id.EventId(name, 7, 1)
        hlc = 1 << hybrid_clock.COUNTER_BITS
        recorded = event.Event(identifier, hlc, "held", None, ())
        root = xml.etree.ElementTree.fromstring(svg.draw([recorded]))
        lane = next(e for e in root if e.tag.endswith("line"))
        end_px = 4 + svg.CHARACTER_WIDTH_PX * len(name)
        self.assertGreater(float(lane.get("x1")), end_px)
        self.assertIn("00:00:00.001", [element.text for element in root])

    def test_no_events(self):
        """Without events, the SVG is still well-formed."""
        xml.etree.ElementTree.fromstring(svg.draw(()))
