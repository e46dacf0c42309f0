"""Reads and validates a node's settings file."""

import collections.abc
import difflib
import pathlib
import typing

import yaml

from galenatack import exceptions
from galenatack.settings import field_spec
from galenatack.settings import node_settings
from galenatack.settings import schema
from galenatack.settings import trust_settings
from galenatack.settings import unique_loader

TRUST = "trust"
FILE_FIELDS = ("ca_file", "cert_file", "key_file")
ADDRESS_FIELDS = ("call_address", "peer_address", "admin_address")
MAX_SHOWN_LENGTH = 40
# Exceptions that PyYAML does not wrap: for scalars that look like a date or a
# number but are invalid, such as 2020-13-45, and for too deeply nested text.
_UNWRAPPED_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    RecursionError,
)


def load(path: str | pathlib.Path) -> node_settings.NodeSettings:
    """Reads and validates a settings file.

    Args:
        path: Settings file. Certificate paths in it are relative to its
            folder.

    Raises:
        exceptions.SettingsError: The file is invalid; the message has one line
            for each error with the file, the key path and the expected value.
    """
    file = pathlib.Path(path)
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            f"{file}: cannot be read: {error}"
        ) from error
    check = _FileCheck(file)
    settings = check.settings(_document(file, text))
    if settings is None:
        raise exceptions.SettingsError("\n".join(check.errors))
    return settings


def _document(file: pathlib.Path, text: str) -> dict:
    try:
        # UniqueLoader is a SafeLoader.
        document = yaml.load(text, Loader=unique_loader.UniqueLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        position = f":{mark.line + 1}" if mark else ""
        problem = getattr(error, "problem", None) or "not readable"
        raise exceptions.SettingsError(
            f"{file}{position}: expected YAML: {problem}"
        ) from error
    except _UNWRAPPED_ERRORS as error:
        raise exceptions.SettingsError(
            f"{file}: expected YAML: {type(error).__name__}: {error}"
        ) from error
    if not isinstance(document, dict):
        raise exceptions.SettingsError(
            f"{file}: expected a mapping of settings"
        )
    return document


class _FileCheck:
    """Validation of one file; collects the errors."""

    def __init__(self, file: pathlib.Path):
        self._file = file
        self.errors: list[str] = []

    def settings(self, document: dict) -> node_settings.NodeSettings | None:
        """Returns the settings, or None if there are errors."""
        flat = self._flatten(document)
        values = {
            spec.path: self._checked_value(spec, flat) for spec in schema.FIELDS
        }
        self._check_unknown_keys(flat)
        self._resolve_trust_files(values)
        self._check_tokens(values)
        self._check_distinct_addresses(values)
        return None if self.errors else _build(values)

    def _add_error(self, path: str, sentence: str) -> None:
        self.errors.append(f"{self._file}: {path}: {sentence}")

    def _flatten(self, document: dict) -> dict[str, object]:
        flat = {str(key): value for key, value in document.items()}
        section = flat.pop(TRUST, {})
        if not isinstance(section, dict):
            self._add_error(TRUST, "expected a mapping")
            section = {}
        for key, value in section.items():
            flat[f"{TRUST}.{key}"] = value
        return flat

    def _checked_value(
        self, spec: field_spec.FieldSpec, flat: dict[str, object]
    ) -> typing.Any:
        if spec.path not in flat:
            if spec.is_required:
                self._add_error(spec.path, f"missing; expected {spec.expects}")
            return spec.default
        value = flat[spec.path]
        try:
            return spec.check(value)
        except ValueError:
            shown = "" if spec.is_secret else f", got {_shortened_repr(value)}"
            self._add_error(spec.path, f"expected {spec.expects}{shown}")
            return None

    def _check_unknown_keys(self, flat: dict[str, object]) -> None:
        known = [spec.path for spec in schema.FIELDS]
        for path in flat:
            if path in known:
                continue
            matches = difflib.get_close_matches(path, known, n=1)
            hint = f"; did you mean {matches[0]}?" if matches else ""
            self._add_error(path, f"unknown key{hint}")

    def _resolve_trust_files(self, values: dict[str, typing.Any]) -> None:
        if values[f"{TRUST}.mode"] != "mtls":
            return
        for field in FILE_FIELDS:
            path = f"{TRUST}.{field}"
            if values[path] is None:
                continue
            if not values[path]:
                self._add_error(path, "missing; trust.mode mtls needs it")
                continue
            resolved = self._file.parent / values[path]
            if not resolved.is_file():
                self._add_error(
                    path, f"expected a file, there is no {resolved}"
                )
            values[path] = str(resolved)

    def _check_tokens(self, values: dict[str, typing.Any]) -> None:
        operators = values[f"{TRUST}.operator_tokens"] or ()
        viewers = values[f"{TRUST}.viewer_tokens"] or ()
        if set(operators) & set(viewers):
            self._add_error(
                f"{TRUST}.viewer_tokens",
                "expected tokens that are not operator tokens too",
            )

    def _check_distinct_addresses(self, values: dict[str, typing.Any]) -> None:
        field_of: dict[str, str] = {}
        for field in ADDRESS_FIELDS:
            value = values[field]
            if value is None:
                continue
            if value in field_of:
                self._add_error(
                    field, f"expected another address than {field_of[value]}"
                )
            field_of.setdefault(value, field)


def _build(
    values: collections.abc.Mapping[str, typing.Any],
) -> node_settings.NodeSettings:
    trust = {}
    plain = {}
    for path, value in values.items():
        section, _, field = path.rpartition(".")
        (trust if section == TRUST else plain)[field] = value
    return node_settings.NodeSettings(
        **plain, trust=trust_settings.TrustSettings(**trust)
    )


def _shortened_repr(value: object) -> str:
    text = repr(value)
    if len(text) > MAX_SHOWN_LENGTH:
        return text[:MAX_SHOWN_LENGTH] + "..."
    return text
