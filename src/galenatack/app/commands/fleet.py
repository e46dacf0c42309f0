"""The command `galenatack fleet`."""

import asyncio
import pathlib

import click

from galenatack import exceptions
from galenatack.app import tool
from galenatack.membership import discovery
from galenatack.model import table_page
from galenatack.platform import config_document
from galenatack.platform import rollout_rows
from galenatack.platform import settings_document
from galenatack.platform import store_table


@click.command()
@click.argument("settings_file", type=click.Path())
@click.pass_obj
def fleet(shared: tool.Tool, settings_file: str) -> None:
    """Shows what lies in the store that SETTINGS_FILE names.

    That is the configuration, the nodes that gave their address, and each
    rollout with its verdict and why.
    """
    settings = settings_document.load(pathlib.Path(settings_file))
    report = asyncio.run(_read(settings.store_address))
    shared.show(report, "\n".join(_lines(report)))


async def _read(address: str) -> dict[str, object]:
    table = store_table.StoreTable(address=address)
    try:
        operator = await table.read(config_document.TABLE)
        progress = await table.read(rollout_rows.PROGRESS_TABLE)
        nodes = await table.read(discovery.TABLE)
    finally:
        await table.close()
    return {
        "revision": operator.revision,
        "config": _config(operator),
        "nodes": [row.key for row in nodes.rows],
        "rollouts": _rollouts(operator, progress),
    }


def _config(page: table_page.TablePage) -> dict[str, object]:
    for row in page.rows:
        if row.key == config_document.KEY:
            config = config_document.decode(row.value)
            return {"version": config.version, "routes": len(config.routes)}
    return {}


def _rollouts(
    operator: table_page.TablePage, progress: table_page.TablePage
) -> list[dict[str, object]]:
    progress_rows = {row.key: row for row in progress.rows}
    rollouts = []
    for row in operator.rows:
        if not row.key.startswith(rollout_rows.ORDER_PREFIX):
            continue
        order = rollout_rows.decode_order(row)
        rollout = {**order._asdict(), "phase": "ordered", "reason": ""}
        if order.service in progress_rows:
            written = rollout_rows.decode_progress(progress_rows[order.service])
            if written.order_revision == order.revision:
                rollout |= {
                    "phase": written.phase,
                    "reason": written.reason,
                    "written_by": written.written_by,
                }
        rollouts.append(rollout)
    return rollouts


def _lines(report: dict) -> list[str]:
    config = report["config"]
    if not config:
        raise exceptions.NotFoundError("the store holds no configuration")
    lines = [
        f"configuration {config['version']}: {config['routes']} routes",
        f"nodes: {', '.join(report['nodes']) or 'none'}",
    ]
    for rollout in report["rollouts"]:
        lines.append(
            f"rollout of {rollout['service']} to {rollout['version']}:"
            f" {rollout['phase']}"
            + (f" ({rollout['reason']})" if rollout["reason"] else "")
        )
    return lines
