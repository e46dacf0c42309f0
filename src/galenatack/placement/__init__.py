"""Choice of the target of a call."""
