"""Stand-ins around the nodes of a shared platform."""
