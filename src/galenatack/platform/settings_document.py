"""Reads a node's settings from the platform's settings file."""

import os
import pathlib
import typing

import yaml

from galenatack import exceptions
from galenatack.platform import _values
from galenatack.settings import fleet_bounds
from galenatack.settings import mesh_settings

PATH_VARIABLE = "GALENATACK_SETTINGS"
DEFAULT_PATH = "/etc/galenatack/node.yaml"

METRICS_PORT = 9464
"""Port of the metrics, as in `deploy/system.toml`."""

_DEFAULTS = fleet_bounds.FleetBounds()


def path() -> pathlib.Path:
    """Returns the path of the settings file of this process."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def is_platform_form(file: pathlib.Path) -> bool:
    """Returns whether a settings file has the platform's form."""
    try:
        document = yaml.safe_load(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError):
        # The loader of the product's own form reports the error.
        return False
    return isinstance(document, dict) and "machine_class" in document


def load(file: pathlib.Path) -> mesh_settings.MeshSettings:
    """Reads and validates a settings file; unknown fields are ignored.

    Raises:
        exceptions.SettingsError: The file is invalid; one line with the file,
            the field and the expected value.
    """
    try:
        document = yaml.load(
            file.read_text(encoding="utf-8"),
            Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader),
        )
        return _settings(document)
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(f"{file}: {error}") from error
    except yaml.YAMLError as error:
        raise exceptions.SettingsError(f"{file}: expected YAML") from error
    except exceptions.DocumentError as error:
        raise exceptions.SettingsError(f"{file}: {error}") from error


def _settings(document: typing.Any) -> mesh_settings.MeshSettings:
    listen = _values.field(document, "listen", _mapping)
    store = _values.field(document, "platform", _mapping)
    host = _values.field(document, "ip", _values.text)
    ports = _values.field(document, "internal_ports", _ports)
    limits = _values.field(document, "limits", _mapping, default={})
    return mesh_settings.MeshSettings(
        node_id=_values.field(document, "node_id", _values.text),
        data_centre=_values.field(document, "zone", _values.text),
        region=_values.field(document, "region", _values.text),
        service=_values.field(document, "service", _values.text),
        target_address=_values.field(document, "app_address", _address),
        caller_address=_values.field(listen, "outbound", _address),
        control_address=_values.field(listen, "control", _address),
        ready_address=_values.field(listen, "ready_address", _address),
        peer_address=f"{host}:{ports[0]}",
        metrics_address=f"{host}:{METRICS_PORT}",
        store_address=_values.field(store, "address", _address),
        bounds=_bounds(_values.field(document, "bounds", _texts, default=[])),
        advertised_address=_values.field(
            document, "advertised_address", _address, default=""
        ),
        memory_mb=_values.field(
            limits, "memory_mb", _values.non_negative_int, default=0
        ),
        max_fds=_values.field(
            limits, "max_fds", _values.non_negative_int, default=0
        ),
    )


def _bounds(texts: list[str]) -> fleet_bounds.FleetBounds:
    # Each entry is `name=value`. The platform's names are terse, so they map to
    # fields with descriptive names.
    values = dict(text.split("=", 1) for text in texts if "=" in text)

    def bound_ms(name: str, default: int) -> int:
        return _values.field(values, name, _values.duration_ms, default)

    def number(name: str, default: float) -> float:
        return _values.field(values, name, float, default)

    return fleet_bounds.FleetBounds(
        drain_ms=bound_ms("drain", _DEFAULTS.drain_ms),
        grace_ms=bound_ms("grace", _DEFAULTS.grace_ms),
        config_ms=bound_ms("config_apply", _DEFAULTS.config_ms),
        repeat_window_ms=bound_ms("retry_window", _DEFAULTS.repeat_window_ms),
        repeat_slack=int(number("budget_slack", _DEFAULTS.repeat_slack)),
        trial_share=number("exposure_share", _DEFAULTS.trial_share),
        repeat_ratio=number("retry_budget_ratio", _DEFAULTS.repeat_ratio),
        evacuation_ms=bound_ms("evacuation", _DEFAULTS.evacuation_ms),
        revoke_ms=bound_ms("revoke", _DEFAULTS.revoke_ms),
        is_revoking_strict=values.get("revoke_strict") == "true",
        quota_window_ms=bound_ms("quota_window", _DEFAULTS.quota_window_ms),
        quota_overshoot=number("quota_overshoot", _DEFAULTS.quota_overshoot),
        quota_slack=int(number("quota_slack", _DEFAULTS.quota_slack)),
        cold_overshoot=number("warmup_overshoot", _DEFAULTS.cold_overshoot),
        cold_slack=int(number("warmup_slack", _DEFAULTS.cold_slack)),
        uses_estimates=values.get("cost_estimates") != "off",
    )


def _mapping(value: typing.Any) -> dict[str, typing.Any]:
    if not isinstance(value, dict):
        raise ValueError("a mapping")
    return value


def _address(value: typing.Any) -> str:
    host, _, port = _values.text(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("host:port")
    return value


def _ports(value: typing.Any) -> list[int]:
    if not isinstance(value, list) or len(value) < 1:
        raise ValueError("the first and the last port")
    return [_values.non_negative_int(port) for port in value]


def _texts(value: typing.Any) -> list[str]:
    if isinstance(value, str):
        return [part.strip() for part in value.split(",")]
    if not isinstance(value, list):
        raise ValueError("a list of name=value")
    return [str(part) for part in value]
