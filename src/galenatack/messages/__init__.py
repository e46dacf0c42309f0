"""Messages between nodes, one type per module."""
