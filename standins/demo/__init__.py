"""The demo: one deployment on loopback, as separate processes."""
