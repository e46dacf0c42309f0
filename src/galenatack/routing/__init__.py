"""Call path of a node: routing, limits and the inbound gate."""
