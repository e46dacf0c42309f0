"""Failures of the table service and the object store."""

from galenatack.exceptions import _base


class PlatformError(_base.GalenatackError):
    """Base class of failures of the table service and the object store."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform refused the operation; it had no effect.

    Attributes:
        retry_after_ms: Delay before a retry, in milliseconds.
    """

    code = "platform-unavailable"

    def __init__(self, message: str, *, retry_after_ms: int = 1000):
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class PlatformAnswerLostError(PlatformUnavailableError):
    """The answer to a read was not received completely."""

    code = "platform-answer-lost"


class OutcomeUnknownError(PlatformError):
    """The answer to a write was lost; the write may have taken effect."""

    code = "outcome-unknown"


class TransactionConflictError(PlatformError):
    """A check of a transaction failed; nothing was written.

    Attributes:
        keys: The row keys whose revision differed.
    """

    code = "transaction-conflict"

    def __init__(self, message: str, *, keys: tuple[str, ...]):
        super().__init__(message)
        self.keys = keys


class ObjectCorruptError(PlatformError):
    """An object is missing or its body differs from its content hash."""

    code = "object-corrupt"


class HistoryLostError(PlatformError):
    """The store has discarded the changes after a revision."""

    code = "history-lost"


class DocumentError(PlatformError):
    """A document of the platform lacks a field or has a malformed one."""

    code = "document"
