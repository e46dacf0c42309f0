"""Stand-in callers: open-loop load that checks every answer."""
