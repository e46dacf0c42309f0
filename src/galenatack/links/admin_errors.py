"""HTTP responses for failed admin requests."""

import functools

from galenatack import exceptions


@functools.singledispatch
def status_of(error: Exception) -> int:
    """Returns the HTTP status for a failed admin request."""
    del error
    return 500


@status_of.register
def _(error: exceptions.ProfileInvalidError) -> int:
    del error
    return 400


@status_of.register
def _(error: exceptions.AdminRequestError) -> int:
    del error
    return 400


@status_of.register
def _(error: exceptions.NotAuthenticatedError) -> int:
    del error
    return 401


@status_of.register
def _(error: exceptions.NotPermittedError) -> int:
    del error
    return 403


@status_of.register
def _(error: exceptions.NotFoundError) -> int:
    del error
    return 404


@status_of.register
def _(error: exceptions.VersionConflictError) -> int:
    del error
    return 409


@status_of.register
def _(error: exceptions.MoveError) -> int:
    del error
    return 409


@status_of.register
def _(error: exceptions.TransactionConflictError) -> int:
    del error
    return 409


@status_of.register
def _(error: exceptions.PlatformError) -> int:
    del error
    return 503


def body_of(error: Exception) -> dict[str, object]:
    """Returns the JSON body for a failure: code, detail and extra fields."""
    body: dict[str, object] = {
        "error": getattr(error, "code", "internal"),
        "detail": str(error),
    }
    for fact in ("winning_version", "verdict", "retry_after_ms"):
        if hasattr(error, fact):
            body[fact] = getattr(error, fact)
    return body
