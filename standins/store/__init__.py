"""Stand-in for the metadata store of the users' platform."""
