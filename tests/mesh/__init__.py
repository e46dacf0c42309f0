"""Tests of complete nodes on loopback, with the store stand-in."""
