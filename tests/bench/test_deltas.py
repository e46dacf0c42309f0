"""Tests of the encodings that the delta benchmark compares."""

import unittest

import hypothesis
from hypothesis import strategies

from bench import keyed_diff
from bench import xor_runs

FIXED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)
VALUES = strategies.recursive(
    strategies.integers(0, 3),
    lambda inner: (
        strategies.dictionaries(
            strategies.sampled_from("abc"), inner, max_size=3
        )
        | strategies.lists(
            strategies.fixed_dictionaries(
                {"name": strategies.sampled_from("xyz"), "v": inner}
            ),
            max_size=3,
            unique_by=lambda item: item["name"],
        )
    ),
    max_leaves=8,
)


class TestEncodings(unittest.TestCase):
    @hypothesis.given(VALUES, VALUES)
    @FIXED
    def test_keyed_diff_round_trip(self, old, new):
        """Patching the old value yields the new one, including list order."""
        change = keyed_diff.diff(old, new)
        self.assertEqual(keyed_diff.patch(old, change), new)

    @hypothesis.given(
        strategies.binary(max_size=300), strategies.binary(max_size=300)
    )
    @FIXED
    def test_xor_round_trip(self, old, new):
        """Decoding yields the new body for bodies of any lengths."""
        encoded = xor_runs.encode(old, new)
        self.assertEqual(xor_runs.decode(old, encoded), new)
