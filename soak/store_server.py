"""Serves the store stand-in over HTTP."""

import typing

from galenatack.links import http_request
from galenatack.links import http_response
from galenatack.links import pipelined_server
from standins.store import app as store_app
from standins.store import node_table


class StoreServer:
    """Serves the rows of a shared store in this process.

    Args:
        address: host:port to listen on.
        store: The rows and the active faults.
    """

    def __init__(self, *, address: str, store: node_table.SharedStore):
        self._app = store_app.StoreApp(store=store)
        self._server = pipelined_server.PipelinedServer(
            address=address, respond=self._respond
        )

    async def start(self) -> None:
        """Opens the listener."""
        await self._server.listen()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._server.close()

    async def _respond(
        self, request: http_request.HttpRequest
    ) -> http_response.HttpResponse:
        path, _, query = request.target.partition("?")
        scope = {
            "type": "http",
            "method": request.method,
            "path": path,
            "query_string": query.encode(),
        }
        sent: list[dict[str, typing.Any]] = []

        async def receive() -> dict[str, typing.Any]:
            return {"type": "http.request", "body": request.body}

        async def send(event: dict[str, typing.Any]) -> None:
            sent.append(event)

        await self._app(scope, receive, send)
        if not sent:
            # The answer was lost; the client has disconnected by now.
            return http_response.HttpResponse(504)
        start, body = sent
        headers = tuple(
            (name.decode(), value.decode()) for name, value in start["headers"]
        )
        return http_response.HttpResponse(
            start["status"], headers, body["body"]
        )
