"""Stand-in for a target instance, with injectable faults."""
