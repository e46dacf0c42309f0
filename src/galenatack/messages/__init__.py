"""Messages between nodes, one type a module."""
