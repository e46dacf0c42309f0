"""Results for calls that have no answer of a target."""

import json

from galenatack import exceptions
from galenatack.model import call_result
from galenatack.model import outcome

DEFAULT_RETRY_AFTER_MS = 1000
_STATUS = {
    exceptions.OverloadedError.code: 503,
    exceptions.BodyUnavailableError.code: 503,
    exceptions.OfferDeclinedError.code: 503,
    exceptions.RetryRefusedError.code: 503,
    exceptions.NoTargetError.code: 503,
    exceptions.NoPermittedTargetError.code: 503,
    exceptions.EvacuatedError.code: 503,
    exceptions.UnusableRouteError.code: 503,
    exceptions.LeavingError.code: 503,
    exceptions.TargetConnectError.code: 503,
    exceptions.TargetShedError.code: 503,
    exceptions.PeerUnreachableError.code: 503,
    exceptions.PeerBusyError.code: 503,
    exceptions.CancelledCallError.code: 503,
    exceptions.QuarantinedError.code: 503,
    exceptions.KeysOutdatedError.code: 503,
    exceptions.UnknownKeyError.code: 401,
    exceptions.QuotaExceededError.code: 429,
    exceptions.NoRouteError.code: 404,
    exceptions.NotFoundError.code: 404,
    exceptions.DeadlineExceededError.code: 504,
    exceptions.PeerTimeoutError.code: 504,
    exceptions.TargetAnswerLostError.code: 502,
    exceptions.TargetCrashedError.code: 502,
    exceptions.TicketGoneError.code: 502,
}
_BAD_GATEWAY = 502
_TOO_MANY_REQUESTS = 429
_FIRST_SERVER_ERROR = 500


def not_run(error: exceptions.GalenatackError) -> call_result.CallResult:
    """Returns the result of a call that provably did not run."""
    return _failed(outcome.Outcome.NOT_RUN, error)


def unknown(error: exceptions.GalenatackError) -> call_result.CallResult:
    """Returns the result of a call that may have run."""
    return _failed(outcome.Outcome.UNKNOWN, error)


def detail(result: call_result.CallResult) -> str:
    """Returns the detail of a failure in the mesh; empty for other results."""
    if not result.failure:
        return ""
    try:
        return str(json.loads(result.body)["detail"])
    except (ValueError, KeyError, TypeError):
        # The body came from a node of another release.
        return ""


def _failed(
    result_outcome: outcome.Outcome, error: exceptions.GalenatackError
) -> call_result.CallResult:
    explicit_status = getattr(error, "status", 0)
    status = explicit_status or _STATUS.get(error.code, _BAD_GATEWAY)
    # A retry of a malformed call, or of one without a route, would fail again.
    is_retryable = status >= _FIRST_SERVER_ERROR or (
        status == _TOO_MANY_REQUESTS
    )
    retry_after_ms = getattr(error, "retry_after_ms", DEFAULT_RETRY_AFTER_MS)
    return call_result.CallResult(
        outcome=result_outcome.value,
        status=status,
        headers=(("content-type", "application/json"),),
        body=json.dumps({"error": error.code, "detail": str(error)}).encode(),
        retry_after_ms=retry_after_ms if is_retryable else 0,
        failure=error.code,
    )
