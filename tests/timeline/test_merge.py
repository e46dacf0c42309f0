"""Tests of the causal merge."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from galenatack.model import event
from galenatack.model import event_id
from galenatack.timeline import merge

MAX_SKEW_MS = 5000


def _history(seed):
    """Returns causally linked events of processes with skewed clocks."""
    rng = random.Random(seed)
    names = [f"n{number}" for number in range(4)]
    skews = {n: rng.randrange(-MAX_SKEW_MS, MAX_SKEW_MS) for n in names}
    numbers = dict.fromkeys(names, 0)
    events = []
    for step in range(25):
        name = rng.choice(names)
        numbers[name] += 1
        cause = rng.choice(events).event_id if events and step % 2 else None
        identifier = event_id.EventId(name, 1, numbers[name])
        hlc = (10_000 + step + skews[name]) << 16
        events.append(event.Event(identifier, hlc, "step", cause, ()))
    return events, rng


class TestMerge(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, max_examples=200, deadline=None, database=None
    )
    @hypothesis.given(strategies.integers(0, 1 << 30))
    def test_causal_and_repeatable(self, seed):
        """No event precedes its cause, for any clock skew and input order."""
        events, rng = _history(seed)
        ordered = merge.merge(events)
        positions = {item.event_id: i for i, item in enumerate(ordered)}
        self.assertEqual(len(ordered), len(events))
        for item in events:
            if item.cause is not None:
                self.assertLess(positions[item.cause], positions[item.event_id])
            earlier = item.event_id._replace(number=item.event_id.number - 1)
            self.assertLess(
                positions.get(earlier, -1), positions[item.event_id]
            )
        shuffled = events + events[:5]
        rng.shuffle(shuffled)
        self.assertEqual(merge.merge(shuffled), ordered)

    def test_unrelated_events_are_ordered_by_hybrid_time(self):
        """Events without a causal relation are sorted by timestamp."""
        identifiers = [event_id.EventId(f"n{i}", 1, 1) for i in range(5)]
        events = [
            event.Event(identifier, hlc, "step", None, ())
            for identifier, hlc in zip(
                identifiers, [5, 3, 4, 1, 2], strict=True
            )
        ]
        ordered = [item.hlc for item in merge.merge(events)]
        self.assertEqual(ordered, [1, 2, 3, 4, 5])

    def test_forged_cycle(self):
        """Events that name each other as their cause are all returned."""
        left = event_id.EventId("a", 1, 1)
        right = event_id.EventId("b", 1, 1)
        events = (
            event.Event(left, 1, "step", right, ()),
            event.Event(right, 2, "step", left, ()),
        )
        self.assertEqual(merge.merge(events), events)
