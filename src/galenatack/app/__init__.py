"""Application object, composition root, daemon and command-line tool."""
