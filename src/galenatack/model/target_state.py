"""States that a target announces."""

import enum


class TargetState(enum.StrEnum):
    """States of an announced target."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
