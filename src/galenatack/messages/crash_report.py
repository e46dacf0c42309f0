"""Tells under which requests targets have crashed."""

import typing

from galenatack.model import crash_entry


class CrashReport(typing.NamedTuple):
    """Tells under which requests targets have crashed.

    Attributes:
        entries: Crashes, also those that were cleared.
    """

    entries: tuple[crash_entry.CrashEntry, ...]
