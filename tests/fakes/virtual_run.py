"""Runs a coroutine in virtual time with a seeded scheduler."""

import collections.abc
import random
import typing

import anyio
import trio.testing

T = typing.TypeVar("T")


def run(
    main: collections.abc.Callable[[], collections.abc.Awaitable[T]],
    *,
    seed: int,
) -> T:
    """Runs `main` on trio, with a clock that jumps to the next timer.

    Trio shuffles runnable tasks with its own random source. That source is
    seeded here, which makes runs with the same seed identical step by step.
    Tasks whose timers expire together leave trio's heap in the order of their
    memory addresses; its switch for deterministic scheduling sorts them by
    creation order before the shuffle.

    Args:
        main: Coroutine function without arguments.
        seed: Seed of the scheduler.
    """
    run_module = trio._core._run
    previous = run_module._r
    previous_switch = run_module._ALLOW_DETERMINISTIC_SCHEDULING
    run_module._r = random.Random(seed)
    run_module._ALLOW_DETERMINISTIC_SCHEDULING = True
    try:
        return anyio.run(
            main,
            backend="trio",
            backend_options={
                "clock": trio.testing.MockClock(autojump_threshold=0)
            },
        )
    finally:
        run_module._r = previous
        run_module._ALLOW_DETERMINISTIC_SCHEDULING = previous_switch
