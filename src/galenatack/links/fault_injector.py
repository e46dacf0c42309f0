"""Network partitions and delays for tests and the demo."""

import collections.abc

from galenatack import exceptions

MS_PER_S = 1000.0


class FaultInjector:
    """Simulates partitions and delays between data centres.

    Args:
        enabled: False rejects partitions (`settings.fault_injection`).
        own_region: Region of this node.
        region_delay_ms: One-way delay of frames to other regions.
    """

    def __init__(
        self,
        *,
        enabled: bool = False,
        own_region: str = "",
        region_delay_ms: int = 0,
    ):
        self._enabled = enabled
        self._own_region = own_region
        self._region_delay_s = region_delay_ms / MS_PER_S
        self._cut: frozenset[str] = frozenset()

    @property
    def cut_data_centres(self) -> frozenset[str]:
        """Data centres to and from which all frames are dropped."""
        return self._cut

    def cut(self, data_centres: collections.abc.Iterable[str]) -> None:
        """Sets the data centres that are cut off; an empty set heals all.

        Raises:
            exceptions.SettingsError: The settings do not allow it.
        """
        if not self._enabled:
            raise exceptions.SettingsError("fault_injection is off")
        self._cut = frozenset(data_centres)

    def is_cut(self, data_centre: str) -> bool:
        """Returns whether frames to and from a data centre are dropped."""
        return data_centre in self._cut

    def delay_s(self, region: str) -> float:
        """Returns the delay of frames to a region, in seconds."""
        return 0.0 if region == self._own_region else self._region_delay_s
