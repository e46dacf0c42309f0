"""Randomised runs of whole nodes in virtual time."""
