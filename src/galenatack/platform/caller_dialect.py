"""Translates callers' requests and the answers to them."""

import collections.abc

from galenatack.links import http_request
from galenatack.links import http_response
from galenatack.model import call_result
from galenatack.model import caller_request
from galenatack.model import outcome
from galenatack.platform import _headers
from galenatack.platform import _values

_MS_PER_S = 1000
_BAD_REQUEST = 400
_MAX_DEADLINE_MS = 600_000
_MISSING_HOST = http_response.HttpResponse(_BAD_REQUEST)

Handle = collections.abc.Callable[
    [caller_request.CallerRequest],
    collections.abc.Awaitable[call_result.CallResult],
]


TimeoutMs = collections.abc.Callable[[str, str, int], int | None]


class CallerDialect:
    """Answers HTTP requests of callers through a call handler.

    Args:
        handle: Routes a call and returns its result.
        timeout_ms: Returns how long a request to a host and path may take;
            None if no route matches.
        has_tenants: Returns whether callers send keys of tenants. Only then
            the headers for them are removed.
    """

    def __init__(
        self,
        *,
        handle: Handle,
        timeout_ms: TimeoutMs,
        has_tenants: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self._handle = handle
        self._timeout_ms = timeout_ms
        self._has_tenants = has_tenants

    def time_limit_s(self, request: http_request.HttpRequest) -> float | None:
        """Returns how long a request may take, or None if it is unknown.

        Without a route, or before the first configuration, the caller's
        deadline still holds.
        """
        by_name = dict(request.headers)
        deadline_ms = _deadline_ms(by_name.get(_headers.DEADLINE_MS))
        host = _host(by_name.get("host", ""))
        timeout_ms = self._timeout_ms(host, request.target, deadline_ms)
        limit_ms = timeout_ms or deadline_ms
        return limit_ms / _MS_PER_S if limit_ms else None

    async def respond(
        self, request: http_request.HttpRequest
    ) -> http_response.HttpResponse:
        """Answers one request."""
        by_name = dict(request.headers)
        host = by_name.get("host", "")
        if not host:
            return _MISSING_HOST
        request_id = by_name.get(_headers.ATTEMPT_ID, "")
        has_tenants = self._has_tenants()
        result = await self._handle(
            caller_request.CallerRequest(
                request_id=request_id,
                method=request.method,
                host=_host(host),
                path=request.target,
                headers=_headers.forwarded_request_headers(
                    request.headers, has_tenants=has_tenants
                ),
                body=request.body,
                deadline_ms=_deadline_ms(by_name.get(_headers.DEADLINE_MS)),
                receive_ms=request.receive_s * _MS_PER_S,
                credential=(
                    _headers.credential(request.headers) if has_tenants else ""
                ),
            )
        )
        return _response(request_id, result)


def _host(value: str) -> str:
    """Returns the name in a `host` header, without the port."""
    return _values.host(value.partition(":")[0])


def _deadline_ms(text: str | None) -> int:
    """Returns the caller's deadline, or 0 if it is missing or invalid."""
    try:
        deadline_ms = int(float(text or ""))
    except (ValueError, OverflowError):
        return 0
    return max(1, min(deadline_ms, _MAX_DEADLINE_MS))


def _response(
    request_id: str, result: call_result.CallResult
) -> http_response.HttpResponse:
    if result.outcome == outcome.Outcome.ANSWER:
        return http_response.HttpResponse(
            result.status, result.headers, result.body
        )
    headers = [*result.headers, (_headers.ATTEMPT_ID, request_id)]
    if result.outcome == outcome.Outcome.NOT_RUN and result.retry_after_ms:
        wait_s = result.retry_after_ms / _MS_PER_S
        headers.append((_headers.RETRY_AFTER, f"{wait_s:.3f}"))
    return http_response.HttpResponse(
        result.status, tuple(headers), result.body
    )
