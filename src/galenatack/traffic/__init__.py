"""The way of a call between callers, gates and targets."""
