"""Targets that have left, by identifier and start time."""

from galenatack.admission import birth_clock

MAX_TARGETS = 64
"""Maximum number of targets that are kept."""


class DepartedTargets:
    """Keeps the latest incarnation of each target that is gone.

    Args:
        births: Compares start times.
    """

    def __init__(self, *, births: birth_clock.BirthClock):
        self._births = births
        self._latest: dict[str, birth_clock.Birth] = {}

    def add(self, target_id: str, birth: birth_clock.Birth) -> None:
        """Adds an incarnation and all before it."""
        known = self._latest.pop(target_id, None)
        if known is not None:
            is_later = birth.born_ms > self._births.earliest_ms(known)
            birth = birth if is_later else known
        self._latest[target_id] = birth
        while len(self._latest) > MAX_TARGETS:
            del self._latest[next(iter(self._latest))]

    def has(self, target_id: str, born_ms: int) -> bool:
        """Returns whether an incarnation is gone."""
        known = self._latest.get(target_id)
        if known is None:
            return False
        is_same = born_ms == known.born_ms
        return is_same or born_ms <= self._births.earliest_ms(known)
