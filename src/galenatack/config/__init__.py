"""Accepted configuration: checks, log state, hold and run, reader."""
