"""Open-loop load generator that checks each answer against its request."""

import json
import random
import time
import typing

import anyio
import anyio.abc
import httpcore

from standins.callers import node_pools
from standins.callers import options as options_module
from standins.callers import record as record_module
from standins.target import app as target_app

_MS_PER_S = 1000
# Time beyond its deadline that a caller waits for an answer.
_GRACE_S = 1.0
_BODY_BITS = 64


class Call(typing.NamedTuple):
    """One call, which may take several attempts.

    Attributes:
        kind: `read`, `plain` or `ticket`.
        method: HTTP method.
        path: Path after the service.
        body: Body.
        key: Idempotency key; empty for reads and until a ticket is issued.
        nodes: Nodes to try, in order.
    """

    kind: str
    method: str
    path: str
    body: bytes
    key: str
    nodes: tuple[str, ...]


class Reply(typing.NamedTuple):
    """Result of one attempt.

    Attributes:
        status: HTTP status; 0 without an answer.
        outcome: `answer`, `not-run` or `unknown`.
        retry_after_s: Delay before the next attempt, in seconds.
        body: Body.
    """

    status: int
    outcome: str
    retry_after_s: float
    body: bytes


class Callers:
    """Sends calls at a fixed rate, independent of answers.

    Attributes:
        record: Results of the calls.
    """

    def __init__(self, options: options_module.CallerOptions):
        self._options = options
        self._rng = random.Random(options.seed)
        self.record = record_module.Record()

    async def run(self) -> None:
        """Sends all calls and waits until they end."""
        options = self._options
        async with (
            node_pools.NodePools() as pool,
            anyio.create_task_group() as tasks,
        ):
            start_s = time.monotonic()
            for number in range(int(options.rate * options.duration_s)):
                planned_s = start_s + number / options.rate
                await anyio.sleep(max(0.0, planned_s - time.monotonic()))
                tasks.start_soon(self._run_call, pool, self._make_call(number))

    def _make_call(self, number: int) -> Call:
        rng = self._rng
        nodes = list(self._options.nodes)
        rng.shuffle(nodes)
        if rng.random() >= self._options.posting_share:
            path = f"{self._options.read_path}?n={number}"
            return Call("read", "GET", path, b"", "", tuple(nodes))
        body = f"{rng.getrandbits(_BODY_BITS):x}".encode()
        is_ticket = rng.random() < self._options.ticket_share
        return Call(
            kind="ticket" if is_ticket else "plain",
            method="POST",
            path=self._options.posting_path,
            body=body,
            key="" if is_ticket else f"k-{self._options.seed}-{number}",
            nodes=tuple(nodes),
        )

    async def _run_call(self, pool: node_pools.NodePools, call: Call) -> None:
        started_s = time.monotonic()
        outcome = "not-run"
        for attempt in range(self._options.attempts):
            node = call.nodes[attempt % len(call.nodes)]
            if call.kind == "ticket" and not call.key:
                call = await self._issue_ticket(pool, call, node)
                if not call.key:
                    continue
            reply = await self._attempt(pool, call, node)
            if outcome != "unknown" or reply.outcome == "answer":
                # After `unknown`, only an answer changes the outcome: a later
                # `not-run` applies to the later attempt only.
                outcome = reply.outcome
            if reply.outcome == "answer":
                self._check(call, reply)
                break
            await anyio.sleep(reply.retry_after_s)
        self.record.end(call.kind, outcome, time.monotonic() - started_s)

    async def _issue_ticket(
        self, pool: node_pools.NodePools, call: Call, node: str
    ) -> Call:
        path = f"/_galenatack/ticket/{self._options.service}"
        reply = await self._send(pool, "POST", f"http://{node}{path}", (), b"")
        if reply.status != 200:
            await anyio.sleep(reply.retry_after_s)
            return call
        return call._replace(key=reply.body.decode())

    async def _attempt(
        self, pool: node_pools.NodePools, call: Call, node: str
    ) -> Reply:
        self.record.attempts += 1
        headers = [
            (b"galenatack-deadline-ms", b"%d" % self._options.deadline_ms)
        ]
        if call.key:
            headers.append((b"idempotency-key", call.key.encode()))
        url = f"http://{node}/{self._options.service}{call.path}"
        reply = await self._send(pool, call.method, url, headers, call.body)
        self.record.statuses[reply.status] += 1
        self.record.replies[_label(reply)] += 1
        return reply

    async def _send(self, pool, method, url, headers, body) -> Reply:
        limit_s = self._options.deadline_ms / _MS_PER_S + _GRACE_S
        try:
            with anyio.fail_after(limit_s):
                response = await pool.request(
                    method, url, headers=list(headers), content=body or None
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return _without_answer("not-run", 0.1, error)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            TimeoutError,
        ) as error:
            return _without_answer("unknown", 0.0, error)
        response_headers = {
            name.lower().decode(): value.decode()
            for name, value in response.headers
        }
        return Reply(
            response.status,
            response_headers.get("galenatack-outcome", "unknown"),
            float(response_headers.get("retry-after", "0")),
            response.content,
        )

    def _check(self, call: Call, reply: Reply) -> None:
        if reply.status != 200:
            return
        if call.key:
            self.record.answered_keys.add(call.key)
        expected = (call.path, call.key, target_app.body_token(call.body))
        try:
            body = json.loads(reply.body)
            received = (body["path"], body["key"], body["token"])
        except (ValueError, KeyError, TypeError):
            received = None
        if received != expected:
            self.record.wrong.append(f"expected {expected}, got {received}")


def _without_answer(
    outcome: str, retry_after_s: float, error: Exception
) -> Reply:
    body = json.dumps({"error": type(error).__name__}).encode()
    return Reply(0, outcome, retry_after_s, body)


def _label(reply: Reply) -> str:
    if reply.outcome == "answer":
        return reply.outcome
    try:
        return f"{reply.outcome} {json.loads(reply.body)['error']}"
    except (ValueError, KeyError, TypeError):
        return f"{reply.outcome} without a code"
