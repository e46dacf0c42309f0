"""Stand-in callers: open-loop load generator that checks every answer."""
