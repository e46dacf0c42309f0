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
    """Runs `main` on trio, with time that jumps to the next timer.

    Trio shuffles runnable tasks with a random source of its own. It is seeded
    here, so that two runs with one seed agree step by step. Timers of the
    same instant expire in the order of their memory addresses; with
    deterministic scheduling trio sorts the woken tasks before the shuffle.

    Args:
        main: Coroutine function without arguments.
        seed: Seed of the scheduler.
    """
    run_module = trio._core._run
    previous = run_module._r, run_module._ALLOW_DETERMINISTIC_SCHEDULING
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
        run_module._r, run_module._ALLOW_DETERMINISTIC_SCHEDULING = previous
