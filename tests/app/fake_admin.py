"""A small admin API behind httpx's mock transport."""

import json
import typing

import httpx

TOKEN = "operator-token-16"


def member(node_id: str, running_seq: int, **changes: object) -> dict:
    """Returns a member record in the API's JSON form."""
    record = {
        "node_id": node_id,
        "incarnation": 1,
        "status": "serving",
        "data_centre": "tartu",
        "region": "south",
        "service": "jobs",
        "version": "v1",
        "admin_address": f"{node_id}:1",
        "running_seq": running_seq,
        "rejections": [],
    }
    return {**record, **changes}


def move(phase: str = "running", **changes: object) -> dict:
    """Returns a move state in the API's JSON form."""
    state = {
        "move_id": "m1",
        "service": "jobs",
        "from_version": "v1",
        "to_version": "v2",
        "started_ms": 0,
        "by_ms": 600_000,
        "phase": phase,
        "share_permille": 50,
        "active_targets": 1,
        "step": 0,
        "reason": "",
        "figures": [["error_share", 0.25]],
        "warm_until_ms": 0,
    }
    return {**state, **changes}


class FakeAdmin:
    """Answers requests by method and path.

    Attributes:
        down: Hosts that cannot be connected to.
        answers: (status, JSON) by "METHOD path", or a list of them for
            successive requests, of which the last one repeats.
        seen: (host, "METHOD path", JSON body) of all requests.
        error: Raised after a request was sent.
    """

    def __init__(self):
        self.down: set[str] = set()
        self.answers: dict[str, typing.Any] = {}
        self.seen: list[tuple[str, str, typing.Any]] = []
        self.error: Exception | None = None

    def transport(self) -> httpx.MockTransport:
        """Returns the transport for the tool."""
        return httpx.MockTransport(self._handle)

    def _handle(self, request: httpx.Request) -> httpx.Response:
        host = request.url.host
        if host in self.down:
            raise httpx.ConnectError("refused", request=request)
        path = request.url.path.removeprefix("/admin/v1")
        name = f"{request.method} {path}"
        body = json.loads(request.content) if request.content else None
        self.seen.append((host, name, body))
        if self.error is not None:
            raise self.error
        if request.headers.get("authorization") != f"Bearer {TOKEN}":
            return _error(401, "unauthorized", "no valid token")
        if name == "GET /events":
            return self._events(host, int(request.url.params["after"]))
        answer = self.answers.get(name)
        if isinstance(answer, list):
            answer = answer.pop(0) if len(answer) > 1 else answer[0]
        if answer is None:
            return _error(404, "not-found", f"no {path}")
        return httpx.Response(answer[0], json=answer[1])

    def _events(self, host: str, after: int) -> httpx.Response:
        """Returns one page; each node has two events, one per page."""
        events = [
            {
                "event_id": [host, 1, number],
                "hlc": (1_800_000_000_000 + number) << 16,
                "kind": ("node-started", "move-started")[number],
                "cause": [host, 1, 0] if number else None,
                "facts": [["service", "jobs"]] if number else [],
            }
            for number in range(2)
        ]
        page = [e for e in events if e["event_id"][2] > after][:1]
        return httpx.Response(200, json={"node_id": host, "events": page})


def _error(status: int, code: str, detail: str) -> httpx.Response:
    return httpx.Response(status, json={"error": code, "detail": detail})
