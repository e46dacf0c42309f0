"""A frame was refused; the sender closes the link."""

import typing


class ProtocolFailure(typing.NamedTuple):
    """A frame was refused; the sender closes the link.

    Attributes:
        code: Code of the failure.
        detail: One sentence.
    """

    code: str
    detail: str
