"""The final answer to a call."""

import typing


class CallResult(typing.NamedTuple):
    """The final answer to a call.

    Attributes:
        outcome: `answer`, `not-run` or `unknown`.
        status: HTTP status.
        headers: End-to-end headers, names in lower case.
        body: Whole body.
        retry_after_ms: When to come back; 0 when there is nothing to
            repeat.
        failure: Code of the failure; empty for an answer of the target.
        has_reached_target: True when the call was sent to a target, also
            when that refused it.
    """

    outcome: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    retry_after_ms: int = 0
    failure: str = ""
    has_reached_target: bool = False
