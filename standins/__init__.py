"""Stand-ins of the platform, targets and callers."""
