"""Stand-ins for the targets and operators of a shared platform."""
