"""Suggests the next step after a failure of the tool."""

import http

from galenatack import exceptions

_BY_REASON = {
    "version-conflict": (
        "run `galenatack profile diff` against the version in force, then"
        " publish with --expect set to it"
    ),
    "move-active": (
        "run `galenatack move status SERVICE`; cancel the open move or wait"
        " for its verdict"
    ),
    "move-finished": (
        "run `galenatack move verdict SERVICE`; the verdict is final"
    ),
    "profile-rejected": (
        "run `galenatack status`; publish a corrected profile, or the old"
        " content again as a new version"
    ),
    "move": (
        "run `galenatack status` for the version in force; correct --to or --by"
    ),
    "bad-request": "correct the arguments; run the command with --help",
    "profile-invalid": (
        "correct the file and run `galenatack profile check FILE`"
    ),
    "not-found": "run `galenatack profile list` or `galenatack status`",
}
_BY_STATUS = {
    http.HTTPStatus.UNAUTHORIZED: (
        "pass --token or set GALENATACK_TOKEN to a token of the node's settings"
    ),
    http.HTTPStatus.FORBIDDEN: (
        "use a token from trust.operator_tokens; viewers may only read"
    ),
    http.HTTPStatus.NOT_FOUND: _BY_REASON["not-found"],
    http.HTTPStatus.CONFLICT: "run `galenatack status` and repeat",
}
_BY_CODE = {
    exceptions.AdminUnreachableError.code: (
        "check the address and --ca/--cert/--key, or name further nodes with"
        " --node; after platform-unavailable repeat it when `galenatack status`"
        " shows the platform as ok"
    ),
    exceptions.AdminAnswerError.code: (
        "check that the address is a node's admin address, and that the tool"
        " and the node are of one release"
    ),
    exceptions.AdminTimeoutError.code: (
        "run `galenatack status` to see whether it took effect before you"
        " repeat it"
    ),
    exceptions.WaitTimeoutError.code: (
        "run `galenatack status`; the change itself stands"
    ),
    exceptions.SettingsError.code: (
        "correct the file and run `galenatack config check FILE`"
    ),
    exceptions.PlatformUnavailableError.code: (
        "check the store's address in the settings file; nodes go on with"
        " what they hold until the store is back"
    ),
    exceptions.PlatformAnswerLostError.code: (
        "check that the store answers at the address in the settings file;"
        " nodes go on with what they hold until it does"
    ),
    exceptions.DocumentError.code: (
        "a row of the store cannot be read: correct it at its source; nodes"
        " keep the last one that they could read"
    ),
    exceptions.ProfileInvalidError.code: _BY_REASON["profile-invalid"],
    exceptions.UsageError.code: "run the command with --help",
}
DEFAULT = "run `galenatack status` and look at the node's log"


def next_step_for(error: exceptions.GalenatackError) -> str:
    """Returns one sentence on what to do after a failure."""
    if isinstance(error, exceptions.AdminRefusedError):
        by_status = _BY_STATUS.get(error.status, DEFAULT)
        return _BY_REASON.get(error.reason, by_status)
    return _BY_CODE.get(error.code, DEFAULT)
