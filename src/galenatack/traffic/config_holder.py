"""Holds the configuration in force."""

import logging
import typing

from galenatack.model import traffic_config
from galenatack.tenants import tenant_table
from galenatack.traffic import route_table

_LOGGER = logging.getLogger(__name__)


class ConfigHolder:
    """Replaces the configuration as a whole, never by an older version.

    Attributes:
        table: Index of the configuration in force; None before the first one.
        unknown_parts: Number of parts of its routes that this release does
            not know.
        is_newest_refused: True if the newest configuration is malformed, so
            that an older one stays in force.
    """

    def __init__(self):
        self.table: route_table.RouteTable | None = None
        self.unknown_parts = 0
        self.is_newest_refused = False
        self._reported_unknowns: set[tuple[str, str]] = set()

    def apply_if_newer(self, config: traffic_config.TrafficConfig) -> bool:
        """Applies a configuration unless the same or a newer one is in force.

        Returns:
            True if the configuration was applied.
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
        self._report_unknowns(config)
        return True

    def _report_unknowns(self, config: traffic_config.TrafficConfig) -> None:
        """Logs each unknown part of a route when it first occurs."""
        unknowns = {
            (route.name, unknown)
            for route in config.routes
            for unknown in route.unknowns
        }
        self.unknown_parts = len(unknowns)
        for name, unknown in sorted(unknowns - self._reported_unknowns):
            _LOGGER.warning(
                "event=route-part-unknown version=%d route=%s part=%s",
                config.version,
                name,
                unknown,
            )
        self._reported_unknowns = unknowns

    @property
    def version(self) -> int:
        """Version in force; 0 before the first one."""
        return self.table.version if self.table else 0

    @property
    def tenants(self) -> tenant_table.TenantTable | None:
        """Tenants in force; None if requests need no keys."""
        return self.table.tenants if self.table else None

    def cold_rate_per_s(self, service: str) -> float:
        """Returns the calls per second of a cold target; 0 means no limit."""
        return self.table.cold_rate_per_s(service) if self.table else 0.0


class ApplyIfNewer(typing.Protocol):
    """Applies a decoded configuration."""

    def __call__(self, config: traffic_config.TrafficConfig) -> bool:
        """Returns True if the configuration was applied."""
