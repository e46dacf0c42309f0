"""Failures of settings and profiles."""

from galenatack.exceptions import _base


class SettingsError(_base.GalenatackError):
    """The settings file has errors; the message has one line for each."""

    code = "settings"


class ProfileInvalidError(_base.GalenatackError):
    """A profile failed validation; the message has one line for each error."""

    code = "profile-invalid"


class VersionConflictError(_base.GalenatackError):
    """Another operator published first.

    Attributes:
        winning_version: The version stored in the table.
    """

    code = "version-conflict"

    def __init__(self, message: str, *, winning_version: int):
        super().__init__(message)
        self.winning_version = winning_version


class NotFoundError(_base.GalenatackError):
    """The named profile, service, version or move does not exist."""

    code = "not-found"


class SnapshotError(_base.GalenatackError):
    """Entries have unresolved references; the message has one line for each."""

    code = "snapshot"
