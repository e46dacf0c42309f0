"""Restarts failed background tasks while the node continues to serve calls."""

import collections.abc
import logging

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink

RESTART_S = 1.0

_log = logging.getLogger(__name__)

TaskFunction = collections.abc.Callable[[], collections.abc.Awaitable[object]]


class Supervisor:
    """Runs background tasks until cancelled.

    A violated invariant in mode `raise` still ends the process: that mode is
    for tests, which must detect the violation.

    Args:
        clock: Clock for the delay before a restart.
        events: Sink for events of failed tasks.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        events: event_sink.EventSink,
    ):
        self._clock = clock
        self._events = events

    async def supervise(self, name: str, task: TaskFunction) -> None:
        """Runs a task and restarts it after a failure.

        Args:
            name: Name of the task in log lines and events.
            task: Coroutine function without arguments.
        """
        while True:
            try:
                await task()
            except Exception as error:
                if has_violation(error):
                    raise
                _log.exception("event=duty-failed duty=%s", name)
                self._events.record(
                    "duty-failed", duty=name, error=type(error).__name__
                )
            else:
                return
            await self._clock.sleep_s(RESTART_S)


def has_violation(error: BaseException) -> bool:
    """Returns whether an error is, or contains, a violated invariant."""
    if isinstance(error, BaseExceptionGroup):
        return any(has_violation(nested) for nested in error.exceptions)
    return isinstance(error, exceptions.InvariantViolationError)
