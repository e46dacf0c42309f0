"""Tests of the package bodies."""
