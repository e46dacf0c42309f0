"""Holds the configuration in force."""

import logging
import typing

from galenatack.model import traffic_config
from galenatack.traffic import route_table

_LOGGER = logging.getLogger(__name__)


class ConfigHolder:
    """Swaps whole configurations; never goes back to an older one.

    Attributes:
        table: Index of the configuration in force; None before the first.
    """

    def __init__(self):
        self.table: route_table.RouteTable | None = None

    def apply_if_newer(self, config: traffic_config.TrafficConfig) -> bool:
        """Puts a configuration in force unless a newer one is.

        Returns:
            True when it is in force now.
        """
        known = self.table.version if self.table else 0
        if self.table is not None and config.version <= known:
            return False
        self.table = route_table.RouteTable(config)
        _LOGGER.info(
            "event=config-running version=%d before=%d routes=%d",
            config.version,
            known,
            len(config.routes),
        )
        return True

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.table.version if self.table else 0


class ApplyIfNewer(typing.Protocol):
    """Takes a decoded configuration."""

    def __call__(self, config: traffic_config.TrafficConfig) -> bool:
        """Returns True when it is in force now."""
