"""Turns in which the requests of a listener begin to run."""

import asyncio
import collections
import typing

MAX_BEGUN = 16
"""Requests that begin in one turn of the event loop, some 13 ms of work.
Between two turns the loop reads, and learns of clients that have left."""


class Waiter(typing.Protocol):
    """A connection with requests that have not begun."""

    def begin_next(self) -> bool:
        """Begins a request; returns whether a further one can begin now."""


class RequestTurns:
    """Lets connections begin one request each in turn.

    Without it, all requests that arrive in one turn of the event loop would
    begin before the loop reads again: a crowd that sends thousands of small
    requests and leaves would be served for seconds, and an ordinary caller
    would wait behind all of them.
    """

    def __init__(self):
        self._waiters: collections.OrderedDict[Waiter, None] = (
            collections.OrderedDict()
        )
        self._begun = 0
        self._timer: asyncio.Handle | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Lets a connection begin its requests, at once if none waits."""
        if waiter not in self._waiters:
            self._waiters[waiter] = None
            self._go_on()

    def remove(self, waiter: Waiter) -> None:
        """Forgets a connection."""
        self._waiters.pop(waiter, None)

    def _go_on(self) -> None:
        while self._waiters and self._begun < MAX_BEGUN:
            waiter, _ = self._waiters.popitem(last=False)
            self._begun += 1
            if waiter.begin_next():
                self._waiters[waiter] = None
        if self._begun and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._timer = None
        self._begun = 0
        self._go_on()
