"""What one request of a benchmark is, beside its class."""

import typing

from bench import call_class


class CallTrait(typing.NamedTuple):
    """What one request is, beside its class.

    Attributes:
        body: Contents that all its tries have in common.
        work_ms: Mean of its work, without that of the call that it makes.
        tenant: Its tenant; empty without one.
        parts: Class of the call that its run makes; None without one.
    """

    body: bytes
    work_ms: float
    tenant: str = ""
    parts: call_class.CallClass | None = None
