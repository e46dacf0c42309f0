"""A crash of a target while it ran a request."""

import typing


class CrashEntry(typing.NamedTuple):
    """A crash of a target while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        crash_id: Identifier of the crash, unique in the deployment.
        age_ms: Time since the crash.
        is_cleared: True if a target has answered the request since, so that
            the crash is not held against it.
    """

    fingerprint: bytes
    crash_id: str
    age_ms: int
    is_cleared: bool
