"""Tests of whole nodes on loopback, with the store stand-in."""
