"""Randomised runs of complete nodes in virtual time."""
