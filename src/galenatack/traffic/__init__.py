"""Data path of calls between callers, gates and targets."""
