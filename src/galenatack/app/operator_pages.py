"""Pages of a mesh node for its operators, on the listener of the metrics."""

import http
import json
import typing
import urllib.parse

from galenatack import exceptions
from galenatack.app import mesh_metrics
from galenatack.app import mesh_parts
from galenatack.links import http_request
from galenatack.links import http_response
from galenatack.model import caller_request
from galenatack.traffic import route_explainer
from galenatack.traffic import target_directory

ROUTE_PATH = "/explain-route"
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest size of a body that may be asked about; none is sent."""

_JSON = (("content-type", "application/json"),)


class OperatorPages:
    """Answers operators: the metrics, and where a request would go.

    Args:
        parts: The wired parts.
    """

    def __init__(self, *, parts: mesh_parts.MeshParts):
        self._metrics = mesh_metrics.MeshMetrics(parts=parts)
        self._explainer = route_explainer.RouteExplainer(
            config=parts.config,
            directory=target_directory.TargetDirectory(members=parts.members),
            rollouts=parts.rollouts,
            placement=parts.placement,
            estimates=parts.estimates,
        )

    async def respond(
        self, request: http_request.HttpRequest
    ) -> http_response.HttpResponse:
        """Answers one request."""
        path, _, query = request.target.partition("?")
        if path != ROUTE_PATH:
            return await self._metrics.respond(request)
        return self._explain(dict(urllib.parse.parse_qsl(query)))

    def _explain(self, asked: dict[str, str]) -> http_response.HttpResponse:
        try:
            question = _question(asked)
            facts = self._explainer.explain(question, asked.get("tenant", ""))
        except (KeyError, ValueError) as error:
            return _answer(
                http.HTTPStatus.BAD_REQUEST,
                {"error": "bad-request", "detail": str(error)},
            )
        except exceptions.CallError as error:
            return _answer(
                http.HTTPStatus.NOT_FOUND,
                {"error": error.code, "detail": str(error)},
            )
        return _answer(http.HTTPStatus.OK, facts)


def _question(asked: dict[str, str]) -> caller_request.CallerRequest:
    """Returns the request that is asked about.

    Raises:
        KeyError: Host or path is missing.
        ValueError: The size is no size of a body.
    """
    size = int(asked.get("size", "0"))
    if not 0 <= size <= MAX_BODY_BYTES:
        raise ValueError(f"size: 0 to {MAX_BODY_BYTES}")
    return caller_request.CallerRequest(
        request_id="",
        method=asked.get("method", "GET").upper(),
        host=asked["host"].lower(),
        path=asked["path"],
        headers=(),
        body=bytes(size),
        deadline_ms=0,
    )


def _answer(
    status: http.HTTPStatus, value: dict[str, typing.Any]
) -> http_response.HttpResponse:
    body = json.dumps(value).encode()
    return http_response.HttpResponse(status.value, _JSON, body)
