"""A call at the target."""

import dataclasses

import anyio


@dataclasses.dataclass(slots=True)
class RunningCall:
    """A call at the target.

    Attributes:
        scope: Ends the wait for the answer.
        is_posting: Whether the call runs at most once.
        is_cancelled: Whether the caller disconnected and the wait was ended.
        is_cancel_confirmed: Whether the target confirmed that the call never
            runs.
    """

    scope: anyio.CancelScope
    is_posting: bool
    is_cancelled: bool = False
    is_cancel_confirmed: bool = False
