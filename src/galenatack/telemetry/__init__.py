"""Counters and logs of calls."""
