"""Protection of targets that are cold after a start."""
