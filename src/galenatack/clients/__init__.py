"""What clients make a node keep, and its bounds."""
