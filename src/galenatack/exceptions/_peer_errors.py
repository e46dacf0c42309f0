"""Failures between nodes."""

from galenatack.exceptions import _base


class PeerError(_base.GalenatackError):
    """Base class of failures between nodes."""

    code = "peer"


class PeerUnreachableError(PeerError):
    """The connection to the peer failed; nothing was sent."""

    code = "peer-unreachable"


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; it may have handled the request."""

    code = "peer-timeout"


class PeerBusyError(PeerError):
    """The peer temporarily refused the request.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "peer-busy"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class ProtocolError(PeerError):
    """A frame is malformed or not allowed at this point."""

    code = "protocol"
