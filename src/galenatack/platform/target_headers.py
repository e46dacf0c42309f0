"""Translates calls to a target and the target's answers."""

from galenatack import exceptions
from galenatack.model import call_request
from galenatack.model import target_answer
from galenatack.platform import _headers

_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_SHED_RETRY_AFTER_MS = 100

Headers = tuple[tuple[bytes, bytes], ...]

_ATTEMPT_ID = _headers.ATTEMPT_ID.encode()
_NOT_EXECUTED = _headers.NOT_EXECUTED.encode()
_STAMP = _headers.STAMP.encode()


class TargetHeaders:
    """Implements `interfaces.target_dialect.TargetDialect`."""

    def headers(self, request: call_request.CallRequest) -> Headers:
        """Returns the headers of a call, except its content length."""
        added = (
            (_headers.ATTEMPT_ID, request.request_id),
            (_headers.DEADLINE_MS, str(request.deadline_ms)),
            (_headers.EXPECTED_TARGET, request.target_id),
            (_headers.CALLER_SERVICE, request.caller_service),
        )
        return tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in (*request.headers, *added)
            if value
        )

    def is_answer(
        self, request: call_request.CallRequest, headers: Headers
    ) -> bool:
        """Returns whether an answer belongs to a call."""
        for name, value in headers:
            if name == _ATTEMPT_ID:
                return value == request.request_id.encode("latin-1")
        return True

    def answer(
        self, status: int, headers: Headers, body: bytes
    ) -> target_answer.TargetAnswer:
        """Returns the answer for the caller.

        Raises:
            exceptions.TargetShedError: The target refused the call without
                running it.
            exceptions.TargetAnswerLostError: The answer lacks the target's
                stamp.
        """
        names = {name for name, _ in headers}
        if _NOT_EXECUTED in names or status == _MISDIRECTED:
            raise exceptions.TargetShedError(
                f"the target refused with {status}",
                retry_after_ms=_SHED_RETRY_AFTER_MS,
            )
        if status in _SUCCESS and not {_STAMP, _ATTEMPT_ID} <= names:
            raise exceptions.TargetAnswerLostError(
                f"answer {status} without the target's stamp"
            )
        decoded = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in headers
        )
        return target_answer.TargetAnswer(
            status, _headers.forwarded_answer_headers(decoded), body
        )
