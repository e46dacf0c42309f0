"""Refusal of a frame; the sender closes the link."""

import typing


class ProtocolFailure(typing.NamedTuple):
    """Refuses a frame; the sender closes the link afterwards.

    Attributes:
        code: Code of the failure.
        detail: Description of the failure, one sentence.
    """

    code: str
    detail: str
