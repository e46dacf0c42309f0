"""CPU time that a call costs in each stage of a node, in one process.

Run by `python -m bench.call_stages`. Measures CPU time of this process only,
so that other load on the machine has little effect.
"""

import asyncio
import collections.abc
import json
import time

import anyio
import click

from bench import free_ports
from bench import one_node
from galenatack.links import caller_app
from galenatack.links import http_server
from galenatack.links import message_codec
from galenatack.links import target_link
from galenatack.messages import call
from galenatack.messages import call_answer
from galenatack.model import call_request
from galenatack.model import call_result
from galenatack.model import target_answer

_CALLS = 1000
_ROUNDS = 7
_US_PER_S = 1_000_000
_PATH = "/prices/x/1"
_HEADERS = (
    ("host", "127.0.0.1:7100"),
    ("accept", "*/*"),
    ("galenatack-deadline-ms", "1000"),
)
_ANSWER_HEADERS = (
    ("content-type", "application/json"),
    ("content-length", "100"),
)
_BODY = b"x" * 100
_REQUEST = (
    f"GET {_PATH} HTTP/1.1\r\n".encode()
    + b"".join(f"{name}: {value}\r\n".encode() for name, value in _HEADERS)
    + b"\r\n"
)
_ANSWER = b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (
    b"".join(
        f"{name}: {value}\r\n".encode() for name, value in _ANSWER_HEADERS
    ),
    _BODY,
)

Stage = collections.abc.Callable[[], collections.abc.Awaitable[object]]


class _InstantLink:
    """A target link that answers immediately."""

    async def call(self, request) -> target_answer.TargetAnswer:
        """Answers."""
        del request
        return target_answer.TargetAnswer(200, _ANSWER_HEADERS, _BODY)


class _InstantHandler:
    """A handler that answers immediately."""

    async def handle(self, **call_parts) -> call_result.CallResult:
        """Answers."""
        del call_parts
        return call_result.CallResult("answer", 200, _ANSWER_HEADERS, _BODY)


class _Exchange(asyncio.Protocol):
    """Sends one message at a time; an answer is complete after `_BODY`."""

    def __init__(self):
        self._answer: asyncio.Future[None] | None = None
        self._received = b""

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Completes the exchange once the answer is complete."""
        self._received += data
        if self._received.endswith(_BODY):
            self._received = b""
            self._answer.set_result(None)

    async def exchange(self) -> None:
        """Sends a request and waits for the answer."""
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(_REQUEST)
        await self._answer


class _FixedAnswer(asyncio.Protocol):
    """Answers every request with the same bytes, without parsing."""

    def connection_made(self, transport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers."""
        del data
        self._transport.write(_ANSWER)


async def _per_call_us(stage: Stage) -> float:
    """Returns the CPU time per call of the fastest round."""
    rounds_us = []
    for _ in range(_ROUNDS):
        start_s = time.process_time()
        for _ in range(_CALLS):
            await stage()
        used_s = time.process_time() - start_s
        rounds_us.append(used_s * _US_PER_S / _CALLS)
    return min(rounds_us)


def _request(node: one_node.NodeParts) -> call_request.CallRequest:
    return _plan(node).request._replace(call_id="1-1")


def _plan(node: one_node.NodeParts):
    return node.planner.plan(
        method="GET", path=_PATH, headers=_HEADERS, body=b""
    )


async def _peer_codec(node: one_node.NodeParts) -> float:
    """Encodes and decodes a Call and its CallAnswer once."""
    ask = call.Call(_request(node), 0)
    result = await _InstantHandler().handle()
    answer = call_answer.CallAnswer("1-1", result)

    async def stage() -> None:
        for message in (ask, answer):
            message_codec.decode(message_codec.encode(message, request_id=1))

    return await _per_call_us(stage)


async def _echo_us() -> float:
    """Returns the cost of exchanging the same bytes without HTTP."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_FixedAnswer, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    _, client = await loop.create_connection(_Exchange, *address)
    return await _per_call_us(client.exchange)


async def _caller_app_us() -> float:
    """Returns the cost of a caller-side exchange, including the echo."""
    loop = asyncio.get_running_loop()
    application = caller_app.CallerApp(handler=_InstantHandler())
    address = f"127.0.0.1:{free_ports.free_ports(1)[0]}"
    shutdown = anyio.Event()
    async with anyio.create_task_group() as tasks:

        async def serve() -> None:
            await http_server.serve(
                application, address=address, shutdown=shutdown
            )

        tasks.start_soon(serve)
        await anyio.sleep(0.1)
        host, _, port = address.rpartition(":")
        _, client = await loop.create_connection(_Exchange, host, int(port))
        cost_us = await _per_call_us(client.exchange)
        tasks.cancel_scope.cancel()
    return cost_us


async def _target_link_us(node: one_node.NodeParts) -> float:
    """Returns the cost of a target-link exchange, including the echo."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(_FixedAnswer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    link = target_link.HttpTargetLink(base_url=f"http://{host}:{port}")
    request = _request(node)
    cost_us = await _per_call_us(lambda: link.call(request))
    await link.close()
    return cost_us


async def _measure() -> dict[str, float]:
    node = one_node.make_parts(_InstantLink())

    async def planning() -> None:
        _plan(node)

    plan = _plan(node)

    async def choosing() -> None:
        node.chooser.choose(plan, set())

    message = call.Call(_request(node), 0)
    echo_us = await _echo_us()
    costs_us = {
        "echo": echo_us,
        "caller_side": await _caller_app_us() - echo_us,
        "planning": await _per_call_us(planning),
        "choosing": await _per_call_us(choosing),
        "gate": await _per_call_us(lambda: node.gate.handle(message)),
        "proxy_with_gate": await _per_call_us(
            lambda: node.proxy.handle(
                method="GET", path=_PATH, headers=_HEADERS, body=b""
            )
        ),
        "target_link": await _target_link_us(node) - echo_us,
        "peer_codec": await _peer_codec(node),
    }
    return {name: round(value, 1) for name, value in costs_us.items()}


@click.command()
def main() -> None:
    """Prints microseconds of CPU time a call by stage, as JSON."""
    costs_us = anyio.run(_measure, backend_options={"use_uvloop": True})
    click.echo(json.dumps({"cpu_us_per_call": costs_us}, indent=2))


if __name__ == "__main__":
    main()
