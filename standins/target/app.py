"""The ASGI application of the stand-in target."""

import hashlib
import json
import math
import typing

from standins.target import faults as faults_module
from standins.target import options as options_module
from standins.target import worker as worker_module

_MS_PER_S = 1000
_CALLS = "/_target/calls/"
_MISLEADING_LOAD = 0.1


class TargetApp:
    """Serves calls and the stand-in's own endpoints below `/_target/`."""

    def __init__(self, options: options_module.TargetOptions):
        self._options = options
        self._worker: worker_module.Worker | None = None

    @property
    def worker(self) -> worker_module.Worker:
        """The worker; created on first use, within the event loop."""
        if self._worker is None:
            self._worker = worker_module.Worker(self._options)
        return self._worker

    async def __call__(self, scope, receive, send) -> None:
        """Serves one ASGI connection scope."""
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
                if message["type"] == "lifespan.shutdown":
                    return
        body = await _read(receive)
        path = scope["raw_path"].decode("latin-1")
        if path.startswith("/_target/"):
            status, value = self._control(scope["method"], path, body)
        else:
            status, value = await self._call(scope, path, body)
        await _send_json(send, status, value)

    def _control(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, typing.Any]:
        if method == "DELETE" and path.startswith(_CALLS):
            cancelled = self.worker.cancel(path.removeprefix(_CALLS))
            return 200, {"cancelled": cancelled}
        if (method, path) == ("POST", "/_target/drain"):
            self.worker.drain()
            return 200, {"draining": True}
        if (method, path) == ("POST", "/_target/faults"):
            self.worker.switch(faults_module.Faults(**json.loads(body)))
            return 200, self.worker.faults._asdict()
        if (method, path) == ("GET", "/_target/ledger"):
            return 200, self.worker.ledger.as_json()
        if (method, path) == ("GET", "/_target/load"):
            return 200, self._load()
        return 404, {"error": "not found"}

    def _load(self) -> dict[str, typing.Any]:
        """Reports a tenth of the true load, as reported load may be wrong."""
        return {
            "in_flight": int(self.worker.in_flight * _MISLEADING_LOAD),
            "healthy": True,
            "draining": self.worker.is_draining,
        }

    async def _call(
        self, scope: dict[str, typing.Any], path: str, body: bytes
    ) -> tuple[int, typing.Any]:
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        deadline_ms = headers.get("galenatack-deadline-ms", "")
        has_deadline = deadline_ms.isdecimal()
        work = worker_module.Work(
            call_id=headers.get("galenatack-call-id", ""),
            key=headers.get("idempotency-key", ""),
            path=path,
            deadline_s=int(deadline_ms) / _MS_PER_S
            if has_deadline
            else math.inf,
        )
        status = await self.worker.run(work)
        query = scope["query_string"].decode("latin-1")
        return status, {
            "service": self._options.service,
            "version": self._options.version,
            "path": f"{path}?{query}" if query else path,
            "key": work.key,
            "token": body_token(body),
        }


def body_token(body: bytes) -> str:
    """Returns a digest by which a caller recognizes its own body."""
    return hashlib.sha256(body).hexdigest()[:16]


async def _read(receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b""
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _send_json(send, status: int, value: typing.Any) -> None:
    body = json.dumps(value).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    if status == 503:
        headers.append((b"retry-after", b"1"))
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
