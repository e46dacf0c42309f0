"""Recognizes callers that come back after a refusal.

A caller that comes back sends a new request, with another identifier and what
is left of its deadline. Its node knows it by its contents and by the time at
which it gives up, which has not changed.
"""

import collections
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.model import caller_request
from galenatack.quarantine import request_fingerprint

MS_PER_S = 1000.0

MAX_REQUESTS = 4096
"""Refused requests that are remembered, about 1 MB."""

TOLERANCE_S = 0.04
"""Delays between a caller and its node, by which the two times differ at which
the caller gives up."""


class _Refused(typing.NamedTuple):
    """A refused request: when it first came and when its caller gives up."""

    arrived_s: float
    deadline_s: float
    deadline_ms: int


class ReturnedRequests:
    """Remembers refused requests until their deadline.

    Args:
        clock: Source of time.

    Attributes:
        returned: Number of requests that were recognized.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._refused: collections.OrderedDict[bytes, _Refused] = (
            collections.OrderedDict()
        )
        self.returned = 0

    def __len__(self) -> int:
        return len(self._refused)

    def arrived_s(
        self, request: caller_request.CallerRequest, now_s: float
    ) -> float:
        """Returns when a request first came.

        Args:
            request: The request.
            now_s: Monotonic time at which it came.
        """
        self._forget(now_s)
        if not self._refused or not request.deadline_ms:
            return now_s
        known = self._refused.get(request_fingerprint.of(request))
        if known is None or request.deadline_ms >= known.deadline_ms:
            return now_s
        deadline_s = now_s + request.deadline_ms / MS_PER_S
        if abs(deadline_s - known.deadline_s) > TOLERANCE_S:
            return now_s
        self.returned += 1
        return known.arrived_s

    def note_refused(
        self,
        request: caller_request.CallerRequest,
        *,
        first_s: float,
        now_s: float,
    ) -> None:
        """Remembers a request that has not run.

        Args:
            request: The request.
            first_s: When it first came, by `arrived_s`.
            now_s: When it came this time.
        """
        if not request.deadline_ms:
            return
        key = request_fingerprint.of(request)
        self._refused.pop(key, None)
        self._refused[key] = _Refused(
            first_s,
            now_s + request.deadline_ms / MS_PER_S,
            request.deadline_ms,
        )
        if len(self._refused) > MAX_REQUESTS:
            self._refused.popitem(last=False)

    def _forget(self, now_s: float) -> None:
        """Forgets the oldest requests whose callers have given up."""
        while self._refused:
            key = next(iter(self._refused))
            if self._refused[key].deadline_s > now_s - TOLERANCE_S:
                return
            del self._refused[key]
