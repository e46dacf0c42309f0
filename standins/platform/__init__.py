"""Stand-in for the platform: table service and object store in memory."""
