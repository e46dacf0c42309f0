"""Tests of the path of a call."""
