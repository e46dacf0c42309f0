"""Test that the platform's names are used only in `platform/`."""

import pathlib
import re
import unittest

SOURCES = pathlib.Path(__file__).parents[2] / "src" / "galenatack"

WIRE_NAMES = (
    "x-attempt-id",
    "x-deadline-ms",
    "x-upstream-stamp",
    "x-expected-instance",
    "x-upstream-load",
    "x-not-executed",
    "server-limit",
    "store-era",
    "server-leaving",
    "x-caller-service",
    "x-instance-id",
    "x-credential",
    "x-tenant",
    "x-warmup-ms",
    "allowed_regions",
    "api_keys",
    "warmup_per_s",
    "evacuate/",
    "revoke_strict",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "rows-parts",
    "blob-put",
    "weighted_clusters",
    "non_idempotent",
    "health_path",
    'target_latency"',
    "warmup_left",
    "heartbeat_target",
    "rolled_back",
    "deregister",
    "internal_ports",
    "app_address",
    "exposure_share",
    "budget_slack",
    "config_apply",
)


class TestBoundary(unittest.TestCase):
    def test_no_wire_name_is_used_outside_the_adapter(self):
        """Names on the wire occur only in `platform/`."""
        pattern = re.compile(
            "|".join(re.escape(name) for name in WIRE_NAMES), re.IGNORECASE
        )
        uses = [
            f"{path.relative_to(SOURCES)}: {match[0]}"
            for path in sorted(SOURCES.rglob("*.py"))
            if path.parent.name != "platform"
            for match in pattern.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual(uses, [])
