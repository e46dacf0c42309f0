"""The processes and stand-ins of one run."""

import asyncio
import json
import pathlib
import random

from soak import config_series
from soak import live_target
from soak import node_process
from soak import record
from soak import regions
from soak import rollout
from soak import store_server
from standins.mesh import operator_config
from standins.store import node_table

SERVICES = ("a", "b")
PLACES = (("dc-1", "east"), ("dc-2", "east"), ("dc-3", "west"))
STORE_PORT = 7900
START_S = 20.0


class StartError(Exception):
    """The fleet did not become ready in time."""


class Fleet:
    """Nodes as processes, targets and the store in this process.

    Args:
        nodes: Number of nodes.
        base: Second octet of the loopback addresses.
        folder: Folder for settings and logs.
        seen: Receives runs at targets and configuration versions.
        rng: Random source for the work time of targets.
        product: Folder with the checkout that is run.
        series: Changes of the configuration; None for small ones. With it,
            traffic between regions is delayed and paced.

    Attributes:
        nodes: The node processes.
        targets: Their targets, in the same order.
        store: The shared tables and their faults.
        rollout: A rollout of the last service.
        series: Changes of the configuration; None for small ones.
    """

    def __init__(
        self,
        *,
        nodes: int,
        base: int,
        folder: pathlib.Path,
        seen: record.Record,
        rng: random.Random,
        product: pathlib.Path = node_process.ROOT,
        series: config_series.ConfigSeries | None = None,
    ):
        self._seen = seen
        self.series = series
        self._store_address = f"127.{base}.1.1:{STORE_PORT}"
        self._version = 0
        self.store = node_table.SharedStore()
        self.rollout = rollout.Rollout(
            service=SERVICES[-1], store=self.store, seen=seen
        )
        self._server = store_server.StoreServer(
            address=self._store_address, store=self.store
        )
        self.nodes = [
            node_process.NodeProcess(
                index=index,
                base=base,
                folder=folder,
                place=PLACES[index % len(PLACES)],
                service=SERVICES[index // len(PLACES) % len(SERVICES)],
                store_address=self._store_address,
                product=product,
            )
            for index in range(nodes)
        ]
        if series is not None:
            regions.connect(self.nodes, store_region=PLACES[0][1])
        self.targets = [
            live_target.LiveTarget(node=node, seen=seen, rng=rng)
            for node in self.nodes
        ]

    async def start(self) -> None:
        """Starts everything and waits until all nodes are ready.

        Raises:
            StartError: Some did not become ready in time.
        """
        await self._server.start()
        self.change_config()
        for node, target in zip(self.nodes, self.targets, strict=True):
            await node.open()
            node.start()
            await target.start()
        await self.until_ready(START_S)

    async def until_ready(self, seconds: float) -> None:
        """Waits until all nodes are ready.

        Raises:
            StartError: Some did not become ready in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + seconds
        while True:
            missing = [
                node.name for node in self.nodes if not await _is_ready(node)
            ]
            if not missing:
                return
            if loop.time() > deadline_s:
                raise StartError(f"not ready in {seconds:.0f} s: {missing}")
            await asyncio.sleep(0.1)

    def change_config(self) -> None:
        """Writes the next version of the configuration."""
        now_s = asyncio.get_running_loop().time()
        if self.series is None:
            self._version += 1
        else:
            routes = self.series.change()
            self._version = self.series.version
            self._seen.history.add(self._version, routes, now_s=now_s)
        self.write_config()
        self._seen.versions_s[self._version] = now_s

    def write_config(self) -> None:
        """Writes the newest version of the configuration, perhaps again."""
        document = (
            operator_config.config(self._version, SERVICES, mark=SERVICES[0])
            if self.series is None
            else self.series.document()
        )
        self.store.operator_writes("op", "config", document)
        now_s = asyncio.get_running_loop().time()
        self._seen.history.rewrite(now_s=now_s)

    def restore_copy(self, age: int) -> None:
        """Restores the store from the copy that is `age` copies old."""
        self.rollout.restore_copy(age)
        rows, _ = self.store.rows.range("op", "", "config", 1)
        self._seen.history.lose(
            kept=json.loads(rows[0].value)["version"],
            now_s=asyncio.get_running_loop().time(),
        )

    def add_version(self) -> None:
        """Makes targets of the new version out of some of the last service."""
        targets = [
            target
            for node, target in zip(self.nodes, self.targets, strict=True)
            if node.service == SERVICES[-1]
        ]
        for target in targets[::2]:
            target.version = rollout.VERSION

    async def close(self) -> None:
        """Stops all processes and stand-ins."""
        for node in self.nodes:
            await node.close()
        for target in self.targets:
            target.close()
        self._server.close()


async def _is_ready(node: node_process.NodeProcess) -> bool:
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(
                node.host, node_process.READY_PORT
            )
            try:
                writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: x\r\n\r\n")
                line = await reader.readline()
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        # The process is down or stopped by a signal.
        return False
    return b" 200 " in line
