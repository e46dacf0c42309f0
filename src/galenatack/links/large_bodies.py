"""Limits how many long bodies are received at a time."""

import collections
import typing

FREE_BYTES = 65_536
"""A body up to this size needs no place."""


class Receiver(typing.Protocol):
    """Receives a body."""

    def pause(self) -> None:
        """Stops reading; the sender is slowed down by flow control."""

    def resume(self) -> None:
        """Goes on reading."""


class LargeBodies:
    """Gives places to the receivers of long bodies, in order of arrival.

    The memory for bodies is thereby limited over all connections, and no body
    is refused for the size of others: it is read later.

    Args:
        places: Number of long bodies that are received at a time.
    """

    def __init__(self, *, places: int):
        self._free = places
        self._holders: set[Receiver] = set()
        self._waiting: collections.OrderedDict[Receiver, None] = (
            collections.OrderedDict()
        )

    def claim(self, receiver: Receiver) -> None:
        """Gives a place to a receiver, or pauses it until there is one."""
        if receiver in self._holders or receiver in self._waiting:
            return
        if self._free:
            self._free -= 1
            self._holders.add(receiver)
            return
        self._waiting[receiver] = None
        receiver.pause()

    def release(self, receiver: Receiver) -> None:
        """Passes the place of a receiver on; without one, nothing happens."""
        self._waiting.pop(receiver, None)
        if receiver not in self._holders:
            return
        self._holders.discard(receiver)
        if not self._waiting:
            self._free += 1
            return
        following, _ = self._waiting.popitem(last=False)
        self._holders.add(following)
        following.resume()
