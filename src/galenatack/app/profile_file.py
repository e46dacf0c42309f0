"""Reads profile files of operators."""

import json
import pathlib
import typing

import yaml

from galenatack import exceptions
from galenatack.settings import unique_loader


def read(path: str) -> dict[str, typing.Any]:
    """Reads and validates a profile in YAML or JSON.

    Raises:
        exceptions.UsageError: The file cannot be read.
        exceptions.ProfileInvalidError: The file is not valid YAML, or the
            profile is invalid; one line for each error.
    """
    document = _document(path)
    try:
        check(json.dumps(document).encode())
    except exceptions.ProfileInvalidError as error:
        lines = str(error).splitlines()
        raise exceptions.ProfileInvalidError(
            "\n".join(f"{path}: {line}" for line in lines)
        ) from error
    return document


def check(body: bytes) -> None:
    """Validates the JSON of a profile.

    Raises:
        exceptions.ProfileInvalidError: One line for each error.
    """
    # Imported late: only some commands need the codec.
    from galenatack.config import profile_codec

    profile_codec.parse(body)


def _document(path: str) -> dict[str, typing.Any]:
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        # UniqueLoader is a SafeLoader; JSON is a subset of YAML.
        document = yaml.load(text, Loader=unique_loader.UniqueLoader)
        json.dumps(document)
    except OSError as error:
        reason = error.strerror or error
        raise exceptions.UsageError(f"{path}: {reason}") from error
    except (ValueError, TypeError, RecursionError, yaml.YAMLError) as error:
        reason = " ".join(str(error).split())
        raise exceptions.ProfileInvalidError(
            f"{path}: not valid YAML: {reason}"
        ) from error
    if not isinstance(document, dict):
        raise exceptions.ProfileInvalidError(f"{path}: expected a mapping")
    return document
