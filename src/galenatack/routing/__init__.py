"""The path of a call: routing, limits and the inbound gate."""
