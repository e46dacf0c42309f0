"""A crash of a target while it ran a request."""

import typing


class CrashEntry(typing.NamedTuple):
    """A crash of a target while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash_id: Identifier of the crash, unique in the deployment.
        age_ms: Time since the crash.
        was_suspect: True if the request was a suspect when the run began, so
            that no other suspect was running beside it.
        is_cleared: True if a target has answered the request since, so that
            the crash is not held against it.
    """

    fingerprint: bytes
    crash_id: str
    age_ms: int
    was_suspect: bool
    is_cleared: bool
