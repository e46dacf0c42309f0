"""The final answer to a call."""

import typing


class CallResult(typing.NamedTuple):
    """The final answer to a call.

    Attributes:
        outcome: `answer`, `not-run` or `unknown`.
        status: HTTP status.
        headers: End-to-end headers, names in lower case.
        body: Whole body.
        retry_after_ms: Time to wait before a retry; 0 if the call should not
            be retried.
        failure: Code of the failure; empty for an answer of the target.
        has_reached_target: True if the call was sent to a target, even if the
            target refused it.
    """

    outcome: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    retry_after_ms: int = 0
    failure: str = ""
    has_reached_target: bool = False
