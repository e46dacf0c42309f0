"""Interface of the source of randomness."""

import collections.abc
import typing

T = typing.TypeVar("T")


class RandomSource(typing.Protocol):
    """Source of randomness; `random.Random` satisfies it."""

    def random(self) -> float:
        """Returns a number in [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Returns a number between `a` and `b`."""

    def randrange(self, stop: int) -> int:
        """Returns an integer in [0, stop)."""

    def choice(self, seq: collections.abc.Sequence[T]) -> T:
        """Returns a random element of a non-empty sequence."""

    def getrandbits(self, k: int) -> int:
        """Returns an integer with `k` random bits."""
