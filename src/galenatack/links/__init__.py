"""Connections to peers, targets, callers, operators and the platform."""
