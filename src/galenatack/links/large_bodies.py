"""Limits the memory for long bodies that are received at a time."""

import collections
import typing

FREE_BYTES = 65_536
"""A body up to this size needs no room."""


class Receiver(typing.Protocol):
    """Receives a body."""

    def pause(self) -> None:
        """Stops reading; the sender is slowed down by flow control."""

    def resume(self) -> None:
        """Goes on reading."""


class LargeBodies:
    """Gives room to the receivers of long bodies, in order of arrival.

    The memory for bodies is thereby limited over all connections, and no body
    is refused for the size of others: it is read later.

    Args:
        max_bytes: Limit on the sum of the bodies.
    """

    def __init__(self, *, max_bytes: int):
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._holders: dict[Receiver, int] = {}
        self._waiting: collections.OrderedDict[Receiver, int] = (
            collections.OrderedDict()
        )

    def claim(self, receiver: Receiver, size_bytes: int) -> None:
        """Gives room to a receiver, or pauses it until there is enough.

        A receiver that has room or waits for it gets no more. One that needs
        more than there is in all gets it when no other has any.

        Args:
            receiver: Receives the body.
            size_bytes: Size that the body may reach.
        """
        if receiver in self._holders or receiver in self._waiting:
            return
        self._waiting[receiver] = size_bytes
        self._grant()
        if receiver in self._waiting:
            receiver.pause()

    def release(self, receiver: Receiver) -> None:
        """Takes the room of a receiver back; without any, nothing happens."""
        self._waiting.pop(receiver, None)
        self._held_bytes -= self._holders.pop(receiver, 0)
        for granted in self._grant():
            granted.resume()

    def _grant(self) -> list[Receiver]:
        granted = []
        while self._waiting:
            receiver, size_bytes = next(iter(self._waiting.items()))
            if (
                self._holders
                and self._held_bytes + size_bytes > self._max_bytes
            ):
                break
            del self._waiting[receiver]
            self._holders[receiver] = size_bytes
            self._held_bytes += size_bytes
            granted.append(receiver)
        return granted
