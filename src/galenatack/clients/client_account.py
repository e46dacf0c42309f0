"""One account of what all clients make a node keep."""

import collections
import logging
import typing

from galenatack.clients import client_bounds

_LOGGER = logging.getLogger(__name__)

TIGHT_SHARE = 0.5
"""Above this part of the limit, each connection runs one request at a time and
is not read meanwhile."""

LOG_INTERVAL_S = 1.0
"""A crowd is reported by one line at a time: its clients come back."""

SMALL_BYTES = 131_072
"""What holds less is never refused for want of room: the biggest make room for
it. An ordinary head of 100 lines and 16 kB takes 70 kB while it runs."""

Clock = typing.Callable[[], float]


class Holder(typing.Protocol):
    """A client for which the node keeps something.

    Attributes:
        is_ending: True once all it holds will be free soon.
        waiting_bytes: Part of what it holds that is free at once if shed.
    """

    is_ending: bool
    waiting_bytes: int

    def shed(self) -> None:
        """Frees memory: refuses what has not run, or ends the connection."""


class ClientAccount:
    """Counts the memory that clients hold, and frees that of the biggest.

    Args:
        bounds: Bounds of the node.
        now_s: Steady clock, for the log.

    Attributes:
        bounds: Bounds of the node.
        held_bytes: Memory that all clients hold.
        shed: Clients that were refused or closed, by cause.
    """

    def __init__(self, *, bounds: client_bounds.ClientBounds, now_s: Clock):
        self.bounds = bounds
        self.held_bytes = 0
        self.shed: collections.Counter[str] = collections.Counter()
        self._now_s = now_s
        self._held: dict[Holder, int] = {}
        self._is_relieving = False
        self._logged_s: dict[str, float] = {}

    @property
    def is_tight(self) -> bool:
        """True if clients should be served more slowly."""
        return self.held_bytes > self.bounds.held_bytes * TIGHT_SHARE

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Sets what a client holds; others may be shed for it."""
        self.held_bytes += held_bytes - self._held.get(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        else:
            self._held.pop(holder, None)
        if self.held_bytes > self.bounds.held_bytes and not self._is_relieving:
            self._is_relieving = True
            try:
                self._relieve()
                self._refuse_newcomer(holder)
            finally:
                self._is_relieving = False

    def has_room(self, size_bytes: int) -> bool:
        """Returns whether a request may begin to run."""
        return (
            size_bytes <= SMALL_BYTES
            or self.held_bytes + size_bytes <= self.bounds.held_bytes
        )

    def record_shed(self, cause: str, **details: int) -> None:
        """Counts a client that was refused or closed, and logs some."""
        self.shed[cause] += 1
        now_s = self._now_s()
        if now_s - self._logged_s.get(cause, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[cause] = now_s
        _LOGGER.warning(
            "event=client-shed cause=%s total=%d held_bytes=%d limit_bytes=%d"
            "%s",
            cause,
            self.shed[cause],
            self.held_bytes,
            self.bounds.held_bytes,
            "".join(f" {name}={value}" for name, value in details.items()),
        )

    def _refuse_newcomer(self, holder: Holder) -> None:
        """Sheds the holder that grew while the memory of others is not free.

        Requests of closed connections end in the next turn of the event loop,
        and a crowd can send much more in the same turn.
        """
        if (
            self.held_bytes > self.bounds.held_bytes
            and holder.waiting_bytes > SMALL_BYTES
            and not holder.is_ending
        ):
            self.record_shed("memory", client_bytes=holder.waiting_bytes)
            holder.shed()

    def _relieve(self) -> None:
        """Sheds the biggest holders until the rest is within the limit."""
        candidates = {
            holder: held_bytes
            for holder, held_bytes in self._held.items()
            if not holder.is_ending
        }
        lasting_bytes = sum(candidates.values())
        while lasting_bytes > self.bounds.held_bytes:
            biggest = max(candidates, key=candidates.__getitem__)
            lasting_bytes -= candidates.pop(biggest)
            self.record_shed("memory", client_bytes=self._held[biggest])
            biggest.shed()
            if not biggest.is_ending:
                lasting_bytes += self._held.get(biggest, 0)
