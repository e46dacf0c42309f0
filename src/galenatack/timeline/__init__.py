"""Event recorder, hybrid logical clock and timeline of several nodes."""
