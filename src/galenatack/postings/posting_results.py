"""Results of postings that galenatack generates itself."""

import json

from galenatack import exceptions
from galenatack.model import call_result
from galenatack.model import outcome

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
DEFAULT_RETRY_AFTER_MS = 1000


def not_run(
    failure: str,
    detail: str,
    *,
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS,
) -> call_result.CallResult:
    """Returns the result of a posting that did not run."""
    return _result(
        outcome.Outcome.NOT_RUN,
        NOT_RUN_STATUS,
        failure,
        detail,
        retry_after_ms=retry_after_ms,
    )


def unknown(
    failure: str, detail: str, *, retry_after_ms: int = 0
) -> call_result.CallResult:
    """Returns the result of a posting that may have run.

    Args:
        failure: Code of the failure.
        detail: One sentence.
        retry_after_ms: Delay until a repeat may get the recorded answer; 0 if
            no answer will be recorded.
    """
    return _result(
        outcome.Outcome.UNKNOWN,
        UNKNOWN_STATUS,
        failure,
        detail,
        retry_after_ms=retry_after_ms,
    )


def refused(error: exceptions.PostingError) -> call_result.CallResult:
    """Returns the result of a request that is refused as invalid."""
    return _result(
        outcome.Outcome.NOT_RUN, error.status, error.code, str(error)
    )


def _result(
    result_outcome: outcome.Outcome,
    status: int,
    failure: str,
    detail: str,
    *,
    retry_after_ms: int = 0,
) -> call_result.CallResult:
    return call_result.CallResult(
        outcome=result_outcome.value,
        status=status,
        headers=(("content-type", "application/json"),),
        body=json.dumps({"error": failure, "detail": detail}).encode(),
        retry_after_ms=retry_after_ms,
        failure=failure,
    )
