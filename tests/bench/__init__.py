"""Tests of the benchmark code."""
