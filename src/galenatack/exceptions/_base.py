"""The base of all failures."""


class GalenatackError(Exception):
    """Base class of all failures.

    Attributes:
        code: Stable identifier for logs, messages and exit statuses.
    """

    code = "internal"
