"""Tests of `galenatack.invariants`."""
