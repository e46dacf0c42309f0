"""A stand-in for a target instance with switchable faults."""
