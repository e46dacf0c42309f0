"""Moves: evidence, evaluation, withdrawal, driver and operator interface."""
