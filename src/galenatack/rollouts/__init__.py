"""Moves of a service to a version that an operator orders by a time."""
