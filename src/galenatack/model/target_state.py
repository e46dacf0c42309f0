"""State that a target announces of itself."""

import enum


class TargetState(enum.StrEnum):
    """States of an announced target."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
