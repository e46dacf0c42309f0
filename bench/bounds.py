"""Compares figures with the bounds of `bench/bounds.yaml`."""

import collections.abc
import fnmatch
import pathlib
import typing

import yaml

BOUNDS_FILE = pathlib.Path(__file__).with_name("bounds.yaml")

Figures = dict[str, float]


class Bound(typing.NamedTuple):
    """An upper bound.

    Attributes:
        figure: Glob pattern of figure names.
        max: Maximum value that meets the requirement.
        source: Requirement from which it is derived.
    """

    figure: str
    max: float
    source: str


class Check(typing.NamedTuple):
    """A figure and its bound.

    Attributes:
        name: Name of the figure; ends in its unit.
        value: Measured value.
        bound: Its bound, or None.
    """

    name: str
    value: float
    bound: Bound | None

    @property
    def is_missed(self) -> bool:
        """Whether the figure is above its bound or is NaN."""
        return self.bound is not None and not self.value <= self.bound.max


def load() -> tuple[Bound, ...]:
    """Reads all bounds."""
    rows = yaml.safe_load(BOUNDS_FILE.read_text(encoding="utf-8"))
    return tuple(Bound(**row) for row in rows)


def check(
    figures: Figures, known: collections.abc.Sequence[Bound]
) -> tuple[Check, ...]:
    """Pairs each figure with its bound."""
    return tuple(
        Check(name, value, _bound_of(name, known))
        for name, value in figures.items()
    )


def _bound_of(
    name: str, known: collections.abc.Sequence[Bound]
) -> Bound | None:
    for bound in known:
        if fnmatch.fnmatchcase(name, bound.figure):
            return bound
    return None
