"""The base of all exceptions."""


class GalenatackError(Exception):
    """Base class of all galenatack exceptions.

    Attributes:
        code: Stable identifier for logs, messages and exit statuses.
    """

    code = "internal"
