"""Exit statuses of the `galenatack` tool."""

import enum
import functools
import http

from galenatack import exceptions


class ExitStatus(enum.IntEnum):
    """Exit statuses of the `galenatack` tool."""

    OK = 0
    TAKEN_BACK = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    TIMED_OUT = 5
    INTERNAL = 70
    INTERRUPTED = 130


HELP = """\b
Exit statuses:
  0  ok; for a move: the verdict is done
  1  the move's verdict is taken back
  2  wrong usage, settings or profile file
  3  refused, in conflict, or rejected by a node
  4  no node or no platform can be reached
  5  timed out, or not decided yet
  70 fault of the tool itself
  130 interrupted
"""


@functools.singledispatch
def exit_status_for(error: exceptions.GalenatackError) -> ExitStatus:
    """Returns the exit status for a failure."""
    del error
    return ExitStatus.REFUSED


@exit_status_for.register(exceptions.UsageError)
@exit_status_for.register(exceptions.SettingsError)
@exit_status_for.register(exceptions.ProfileInvalidError)
def _usage(error: exceptions.GalenatackError) -> ExitStatus:
    del error
    return ExitStatus.USAGE


@exit_status_for.register(exceptions.AdminUnreachableError)
@exit_status_for.register(exceptions.AdminAnswerError)
@exit_status_for.register(exceptions.PlatformUnavailableError)
def _unreachable(error: exceptions.GalenatackError) -> ExitStatus:
    del error
    return ExitStatus.UNREACHABLE


@exit_status_for.register(exceptions.AdminTimeoutError)
@exit_status_for.register(exceptions.WaitTimeoutError)
def _timed_out(error: exceptions.ToolError) -> ExitStatus:
    del error
    return ExitStatus.TIMED_OUT


@exit_status_for.register(exceptions.AdminRefusedError)
def _refused(error: exceptions.AdminRefusedError) -> ExitStatus:
    if error.status == http.HTTPStatus.BAD_REQUEST:
        return ExitStatus.USAGE
    return ExitStatus.REFUSED
