"""Member records, overlay ring, node roles by rank, suspicion."""
