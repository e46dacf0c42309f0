"""Failure drills with real processes on loopback."""
