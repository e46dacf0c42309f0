"""Counts the targets of a version."""

import typing


class TargetCount(typing.Protocol):
    """Counts the targets of a version."""

    def count(self, service: str, version: str) -> int:
        """Returns the number of usable targets of a version."""
