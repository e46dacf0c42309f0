"""Garbage collection of a process that serves calls."""

import gc

# Young objects of many calls are looked at together; calls leave few cycles.
_YOUNG_OBJECTS = 20_000
_YOUNG_COLLECTIONS = 20
_MIDDLE_COLLECTIONS = 20


def freeze() -> None:
    """Takes what the start has made out of the collector's sight.

    A full collection looks at all modules and their code and stops the calls
    for tens of milliseconds. Call it once, when the process is ready.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, _YOUNG_COLLECTIONS, _MIDDLE_COLLECTIONS)
