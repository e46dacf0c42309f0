"""Violations of invariants."""

from galenatack.exceptions import _base


class InvariantViolationError(_base.GalenatackError):
    """Base class of invariant violations, which are bugs in galenatack.

    Attributes:
        facts: The values that show the violation.
    """

    code = "invariant"

    def __init__(self, message: str, **facts: object):
        details = " ".join(f"{key}={value!r}" for key, value in facts.items())
        super().__init__(f"{message} {details}".strip())
        self.facts = facts
