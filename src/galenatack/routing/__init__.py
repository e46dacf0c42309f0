"""Routing snapshots, balancing, limits and budgets."""
