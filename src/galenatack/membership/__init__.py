"""Member records, overlay ring, duties by rank, suspicion."""
