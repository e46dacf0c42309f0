"""Scenes of the overload benchmark in which calls differ in their work."""

import asyncio
import random
import typing

from bench import call_class
from galenatack.model import target_load

MS_PER_S = 1000.0

SLOW_FACTOR = 2.5
SLOW_S = 0.6
SLOW_GAP_S = 4.0
"""Mean time between two slow spells of a machine."""

OBJECTIVE_MS = 700
"""Objective of the route. A call of the heavy kind is within it in more than
99 % of all cases if it does not wait and its target is not slow."""

LIGHT = call_class.CallClass(
    "light", 0.8, 25.0, OBJECTIVE_MS, 2000, 1, "uneven", "/a/light"
)
HEAVY = call_class.CallClass(
    "heavy", 0.2, 250.0, OBJECTIVE_MS, 2000, 1, "uneven", "/a/heavy"
)
EVEN_SPEEDS = (1.0,) * 8
UNEVEN_SPEEDS = (1.6, 1.4, 1.2, 1.0, 0.9, 0.8, 0.6, 0.5)
"""Relative speeds, 1.0 on average."""


class Scene(typing.NamedTuple):
    """Calls and machines of a run.

    Attributes:
        classes: Classes of calls.
        speeds: Relative speed of each target.
        slots: Slots of each target.
        uses_estimates: Whether nodes estimate costs.
        is_hidden: Whether the work of a call is independent of its class.
        has_slow_spells: Whether machines are slow from time to time.
        places: Data centre and region of each pair of targets.
    """

    classes: tuple[call_class.CallClass, ...] = (LIGHT, HEAVY)
    speeds: tuple[float, ...] = EVEN_SPEEDS
    slots: int = 4
    uses_estimates: bool = False
    is_hidden: bool = False
    has_slow_spells: bool = False
    places: tuple[tuple[str, str], ...] = (("dc-a", "north"),) * 4

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a call."""
        return sum(kind.share * kind.work_ms for kind in self.classes)

    def mean_ms(self, kind: call_class.CallClass, rng: random.Random) -> float:
        """Returns the mean work of the class to which a call belongs."""
        if not self.is_hidden:
            return kind.work_ms
        weights = [each.share for each in self.classes]
        return rng.choices(self.classes, weights)[0].work_ms


class Machine:
    """The machine of a target, which may be slow for a while.

    Args:
        speed: Relative speed.
        spells: Times at which it becomes slow.

    Attributes:
        spells: Times at which it becomes slow.
        starts: Time at which each call began, and its work in ms.
    """

    def __init__(self, speed: float, spells: typing.Sequence[float] = ()):
        self._speed = speed
        self._changes = sorted(
            [*spells, *(start_s + SLOW_S for start_s in spells)]
        )
        self.spells = spells
        self.starts: list[tuple[float, float]] = []

    def slowdown(self, now_s: float) -> float:
        """Returns the slowdown at a time."""
        is_slow = any(0 <= now_s - start_s < SLOW_S for start_s in self.spells)
        return SLOW_FACTOR if is_slow else 1.0

    def load(self, running: int, slots: int) -> target_load.TargetLoad:
        """Returns what the target reports."""
        now_s = asyncio.get_running_loop().time()
        return target_load.TargetLoad(running, 0, slots, self.slowdown(now_s))

    async def run(self, work_ms: float) -> float:
        """Does work that takes `work_ms` at the usual speed.

        Returns:
            The time that it took, in ms.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.starts.append((began_s, work_ms))
        left_s = work_ms / MS_PER_S / self._speed
        now_s = began_s
        while left_s > 0:
            slowdown = self.slowdown(now_s)
            next_s = min(
                (time_s for time_s in self._changes if time_s > now_s),
                default=float("inf"),
            )
            step_s = min(left_s * slowdown, next_s - now_s)
            left_s -= step_s / slowdown
            now_s = now_s + step_s if step_s < next_s - now_s else next_s
        await asyncio.sleep(now_s - began_s)
        return (loop.time() - began_s) * MS_PER_S


def machines(scene: Scene, rng: random.Random, end_s: float) -> list[Machine]:
    """Returns the machines of all targets."""
    made = []
    for speed in scene.speeds:
        spells = []
        while scene.has_slow_spells:
            last_s = spells[-1] + SLOW_S if spells else 0.0
            start_s = last_s + rng.expovariate(1 / SLOW_GAP_S)
            if start_s > end_s:
                break
            spells.append(start_s)
        made.append(Machine(speed, spells))
    return made
