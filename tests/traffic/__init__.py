"""Tests of the package traffic."""
