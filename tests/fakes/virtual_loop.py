"""An asyncio event loop whose time jumps to the next timer."""

import asyncio
import collections.abc
import selectors
import typing

T = typing.TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    """Never waits; moves the loop's time instead."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Returns at once, later by the whole timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs a test of many seconds in the time of its steps."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._jumping.now_s


class LoopClock:
    """Implements `interfaces.clock.Clock` on the running loop's time."""

    def monotonic_s(self) -> float:
        """Returns the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Returns a wall clock that follows the loop's time."""
        return 1_800_000_000_000 + int(self.monotonic_s() * 1000)

    async def sleep_s(self, duration_s: float) -> None:
        """Suspends the task for `duration_s` seconds of virtual time."""
        await asyncio.sleep(duration_s)


def run(main: collections.abc.Callable[[], typing.Awaitable[T]]) -> T:
    """Runs a coroutine function in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())
