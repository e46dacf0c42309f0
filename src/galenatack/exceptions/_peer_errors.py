"""Failures between nodes."""

from galenatack.exceptions import _base


class PeerError(_base.GalenatackError):
    """Base class of failures between nodes."""

    code = "peer"


class PeerUnreachableError(PeerError):
    """No connection to the peer could be made; nothing was sent."""

    code = "peer-unreachable"


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; it may have handled the request."""

    code = "peer-timeout"


class PeerBusyError(PeerError):
    """The peer refused the request for now.

    Attributes:
        retry_after_ms: When to ask again.
    """

    code = "peer-busy"

    def __init__(self, message: str, *, retry_after_ms: int):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class ProtocolError(PeerError):
    """A frame that cannot be decoded or is not allowed here."""

    code = "protocol"
