"""Tests of the benchmarks' own code."""
