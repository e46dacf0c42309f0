"""Translates calls to a target and the target's answers."""

import logging
import math

from galenatack import exceptions
from galenatack.model import call_request
from galenatack.model import target_answer
from galenatack.model import target_condition
from galenatack.model import target_load
from galenatack.platform import _headers

_LOGGER = logging.getLogger(__name__)

_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_SHED_RETRY_AFTER_MS = 100

Headers = tuple[tuple[bytes, bytes], ...]

_ATTEMPT_ID = _headers.ATTEMPT_ID.encode()
_NOT_EXECUTED = _headers.NOT_EXECUTED.encode()
_STAMP = _headers.STAMP.encode()
_LIMIT = _headers.TARGET_LIMIT.encode()
_LEAVING = _headers.TARGET_LEAVING.encode()
_TARGET_ID = _headers.TARGET_ID.encode()
_COLD_MS = _headers.TARGET_COLD_MS.encode()
_TENANT = _headers.TENANT.encode()
_LOAD = _headers.TARGET_LOAD.encode()

_PERCENT = 100.0
_LOAD_FIGURES = (3, 4)
_MAX_DIGITS = 6
"""Far above any real figure; a longer one is not a load."""


class TargetHeaders:
    """Implements `interfaces.target_dialect.TargetDialect`."""

    def __init__(self):
        self._reported_limit = b""

    def headers(self, request: call_request.CallRequest) -> Headers:
        """Returns the headers of a call, except its content length."""
        added = (
            (_headers.ATTEMPT_ID, request.request_id),
            (_headers.DEADLINE_MS, str(request.deadline_ms)),
            (_headers.EXPECTED_TARGET, request.target_id),
            (_headers.CALLER_SERVICE, request.caller_service),
        )
        encoded = tuple(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in (*request.headers, *added)
            if value
        )
        return (*encoded, *_tenant_headers(request))

    def is_answer(
        self, request: call_request.CallRequest, headers: Headers
    ) -> bool:
        """Returns whether an answer belongs to a call."""
        for name, value in headers:
            if name == _ATTEMPT_ID:
                return value == request.request_id.encode("latin-1")
        return True

    def is_probe_answer(self, headers: Headers) -> bool:
        """Returns whether an answer may belong to a probe, not to a call.

        An answer without the target's identity may be that of a proxy.
        """
        names = {name for name, _ in headers}
        return _TARGET_ID in names and _ATTEMPT_ID not in names

    def condition(
        self, status: int, headers: Headers
    ) -> target_condition.TargetCondition | None:
        """Returns what the target says of itself, None if another answered."""
        if status == _MISDIRECTED:
            return None
        limit_per_s = None
        is_leaving = False
        load = None
        for name, value in headers:
            if name == _LIMIT:
                limit_per_s = self._limit_per_s(value)
            elif name == _LEAVING:
                is_leaving = value.strip() == b"1"
            elif name == _LOAD:
                load = _load(value)
        if limit_per_s is None and not is_leaving and load is None:
            return target_condition.NORMAL
        return target_condition.TargetCondition(limit_per_s, is_leaving, load)

    def cold_ms(
        self, target_id: str, status: int, headers: Headers
    ) -> int | None:
        """Returns how long a target stays cold, None if it does not say."""
        if status == _MISDIRECTED:
            return None
        cold_ms = None
        for name, value in headers:
            if name == _TARGET_ID and value.decode("latin-1") != target_id:
                return None
            if name == _COLD_MS:
                cold_ms = _number_ms(value)
        return cold_ms

    def _limit_per_s(self, value: bytes) -> float | None:
        try:
            limit_per_s = float(value)
        except ValueError:
            limit_per_s = math.nan
        if math.isfinite(limit_per_s) and limit_per_s >= 0:
            return limit_per_s
        # Each distinct value is logged once: all answers may carry it.
        if value != self._reported_limit:
            self._reported_limit = value
            _LOGGER.warning("event=target-limit-unreadable value=%r", value)
        return None

    def answer(
        self,
        request: call_request.CallRequest,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> target_answer.TargetAnswer:
        """Returns the answer for the caller.

        Raises:
            exceptions.TargetShedError: The target refused the call without
                running it.
            exceptions.TargetAnswerLostError: The answer lacks the identifier
                of the call or the target's stamp.
        """
        names = {name for name, _ in headers}
        if request.request_id and _ATTEMPT_ID not in names:
            # It may be a second answer to an earlier call.
            raise exceptions.TargetAnswerLostError(
                f"answer {status} without the identifier of its call"
            )
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


def _number_ms(value: bytes) -> int | None:
    try:
        # A target that is cold for part of a millisecond is cold.
        number_ms = math.ceil(float(value))
    except (ValueError, OverflowError):
        return None
    return number_ms if number_ms >= 0 else None


def _tenant_headers(request: call_request.CallRequest) -> Headers:
    # The operator's names may have characters beyond Latin-1.
    name = request.tenant.encode("utf-8", "replace")
    return ((_TENANT, name),) if name else ()


def _load(value: bytes) -> target_load.TargetLoad | None:
    """Returns a reported load, None if it is malformed."""
    figures = [figure.strip() for figure in value.split(b",")]
    if len(figures) not in _LOAD_FIGURES:
        return None
    if not all(
        figure.isdigit() and len(figure) <= _MAX_DIGITS for figure in figures
    ):
        return None
    numbers = [int(figure) for figure in figures]
    running, queued, slots = numbers[:3]
    percent = numbers[3] if len(numbers) > 3 else _PERCENT
    if slots < 1 or percent < 1:
        return None
    return target_load.TargetLoad(running, queued, slots, percent / _PERCENT)
