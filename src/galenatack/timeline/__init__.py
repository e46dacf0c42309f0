"""Event ring, hybrid logical clock and merge."""
