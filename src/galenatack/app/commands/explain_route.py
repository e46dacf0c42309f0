"""The command `galenatack explain-route`."""

import asyncio
import json
import typing
import urllib.parse

import click

from galenatack import exceptions
from galenatack.app import operator_pages
from galenatack.app import tool
from galenatack.links import http_client

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
OK = 200

_COLUMNS = (
    "node",
    "distance",
    "verdict",
    "cost",
    "answer_ms",
    "by",
    "reported_wait_ms",
    "calls",
    "slots",
    "backlog_ms",
    "slowdown",
    "slowness",
)


@click.command("explain-route")
@click.argument("metrics_address")
@click.option("--host", required=True, help="Host of the request.")
@click.option("--path", required=True, help="Path and query of the request.")
@click.option("--method", default="GET", show_default=True, help="Method.")
@click.option("--size", default=0, help="Size of the body in bytes.")
@click.option("--tenant", default="", help="Name of the tenant.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON value.")
@click.pass_obj
def explain_route(
    shared: tool.Tool, metrics_address: str, is_json: bool, **asked: typing.Any
) -> None:
    """Tells where a request would go now, and why, without sending it.

    METRICS_ADDRESS is HOST:PORT of the metrics of the node that would take
    the request; each node sees the targets in its own way.
    """
    report = asyncio.run(_ask(metrics_address, asked))
    shown = shared._replace(is_json=is_json or shared.is_json)
    shown.show(report, "\n".join(_lines(report)))


async def _ask(
    address: str, asked: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    client = http_client.HttpClient(
        address=address,
        max_connections=1,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_answer_bytes=MAX_ANSWER_BYTES,
    )
    target = f"{operator_pages.ROUTE_PATH}?{urllib.parse.urlencode(asked)}"
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await client.request("GET", target)
        report = json.loads(answer.body)
    except (exceptions.TargetConnectError, TimeoutError, ValueError) as error:
        raise exceptions.AdminUnreachableError(f"{address}: {error}") from error
    finally:
        await client.close()
    if answer.status != OK:
        raise exceptions.AdminRefusedError(
            f"{address}: {report['detail']}",
            status=answer.status,
            reason=report["error"],
            facts=report,
        )
    return report


def _lines(report: dict[str, typing.Any]) -> list[str]:
    lines = [
        f"route {report['route']} of configuration {report['config']}:"
        f" priority {report['priority']}, objective"
        f" {report['target_latency_ms']} ms, timeout {report['timeout_ms']} ms"
    ]
    for service in report["services"]:
        lines.append(
            f"service {service['service']} (weight {service['weight']}),"
            f" {_cost_text(service)}"
        )
        for version in service["versions"]:
            lines.append(f"version {version['version']}: {version['state']}")
            rows = [
                tuple(each[name] for name in _COLUMNS)
                for each in version["candidates"]
            ]
            lines.append(tool.columns([_COLUMNS, *rows]))
        if not service["versions"]:
            lines.append("no target is known")
    return lines


def _cost_text(service: dict[str, typing.Any]) -> str:
    if service["cost_ms"] is None:
        return "placed by counting, cost not estimated"
    by = "expected cost" if service["is_placed_by_cost"] else "counting"
    return (
        f"placed by {by}, cost {service['cost_ms']} ms of class"
        f" {service['cost_class']!r}"
    )
