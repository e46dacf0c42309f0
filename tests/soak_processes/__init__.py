"""Tests of the soak test of real processes."""
