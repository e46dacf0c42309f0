"""An asyncio event loop whose time jumps to the next timer."""

import asyncio
import collections.abc
import selectors
import typing

T = typing.TypeVar("T")


class _AutojumpSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        """Polls without blocking; if idle, advances time by the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting for them."""

    def __init__(self):
        self._virtual_selector = _AutojumpSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_s


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
