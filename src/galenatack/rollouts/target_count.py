"""Counts the targets of a version."""

import typing


class TargetCount(typing.Protocol):
    """Counts the targets of a version."""

    def count(self, service: str, version: str) -> int:
        """Returns how many targets of the version take calls."""
