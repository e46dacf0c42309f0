"""Failures of operators' requests, raised on the node."""

from galenatack.exceptions import _base


class AdminRequestError(_base.GalenatackError):
    """An operator's request is malformed."""

    code = "bad-request"


class NotAuthenticatedError(_base.GalenatackError):
    """An operator's request has no valid bearer token."""

    code = "not-authenticated"


class NotPermittedError(_base.GalenatackError):
    """The role of the bearer token does not allow the request."""

    code = "not-permitted"
