"""Tests of the invariants."""
