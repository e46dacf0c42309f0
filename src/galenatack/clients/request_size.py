"""Sizes of requests as Python objects."""

import collections.abc

HEADER_BYTES = 184
"""A pair of texts without their characters: 72 for the tuple, 8 for its
reference, and 52 for each text with its padding."""

RUNNING_FACTOR = 2
"""A request that runs is kept once as it was received, and once as a message,
as bytes for the target, or in both at different times."""


WAITING_BYTES = 1_024
"""Objects of a request that was received and has not begun, without its head
and body."""

RUNNING_BYTES = 7_168
"""Tasks, frames and messages of a request that runs, without its head and
body."""


def of_waiting(
    target: str,
    headers: collections.abc.Iterable[tuple[str, str]],
    body: bytes,
) -> int:
    """Returns the size of a request that has not begun to run.

    Args:
        target: Path and query.
        headers: Headers.
        body: Whole body.
    """
    return WAITING_BYTES + _content_bytes(target, headers, body)


def of_running(
    target: str,
    headers: collections.abc.Iterable[tuple[str, str]],
    body: bytes,
) -> int:
    """Returns the size of a request while it runs.

    Args:
        target: Path and query.
        headers: Headers.
        body: Whole body.
    """
    content_bytes = _content_bytes(target, headers, body)
    return RUNNING_BYTES + content_bytes * RUNNING_FACTOR


def _content_bytes(
    target: str,
    headers: collections.abc.Iterable[tuple[str, str]],
    body: bytes,
) -> int:
    head_bytes = sum(
        HEADER_BYTES + len(name) + len(value) for name, value in headers
    )
    return len(target) + head_bytes + len(body)
