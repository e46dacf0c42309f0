"""Soak test of real node processes under external faults."""
