"""Mean and variance of positive samples and of their logarithms."""

import math


class SampleStats:
    """Mean and variance of positive samples and of their logarithms.

    Attributes:
        count: Number of samples.
    """

    __slots__ = ("_log_squares", "_logs", "_squares", "_sum", "count")

    def __init__(self):
        self.count = 0
        self._sum = 0.0
        self._squares = 0.0
        self._logs = 0.0
        self._log_squares = 0.0

    @property
    def mean(self) -> float:
        """Mean of the samples."""
        return self._sum / self.count if self.count else 0.0

    def add(self, sample: float, log: float) -> None:
        """Adds a positive sample and its logarithm."""
        self.count += 1
        self._sum += sample
        self._squares += sample * sample
        self._logs += log
        self._log_squares += log * log

    def copy(self) -> "SampleStats":
        """Returns an independent copy."""
        return self.without(SampleStats())

    def without(self, part: "SampleStats") -> "SampleStats":
        """Returns the statistics of the samples that are not in a part."""
        rest = SampleStats()
        rest.count = self.count - part.count
        rest._sum = self._sum - part._sum
        rest._squares = self._squares - part._squares
        rest._logs = self._logs - part._logs
        rest._log_squares = self._log_squares - part._log_squares
        return rest

    def distance(self, other: "SampleStats") -> tuple[float, float]:
        """Returns the factor between two sets, and its significance.

        The logarithms show a difference of typical samples early; the plain
        values show a difference that only the tail makes.

        Returns:
            The factor, at least 1, and the difference in standard errors.
        """
        in_logs = _difference(
            (self.count, self._logs, self._log_squares),
            (other.count, other._logs, other._log_squares),
        )
        in_values = _difference(
            (self.count, self._sum, self._squares),
            (other.count, other._sum, other._squares),
        )
        low, high = sorted((self.mean, other.mean))
        return max(
            (math.exp(min(in_logs[0], 20.0)), in_logs[1]),
            (high / low if low > 0 else 1.0, in_values[1]),
            key=lambda found: found[1],
        )


def _difference(
    one: tuple[int, float, float], two: tuple[int, float, float]
) -> tuple[float, float]:
    means = []
    error = 0.0
    for count, total, squares in (one, two):
        mean = total / count
        means.append(mean)
        error += max(0.0, squares / count - mean * mean) / count
    difference = abs(means[0] - means[1])
    return difference, difference / max(math.sqrt(error), 1e-9)
