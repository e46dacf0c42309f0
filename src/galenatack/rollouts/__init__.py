"""Rollouts: moves of a service to a new version, ordered with a deadline."""
