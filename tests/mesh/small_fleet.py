"""A few complete nodes on loopback with fake targets and a store."""

import asyncio
import contextlib
import itertools
import os
import random
import socket

from galenatack.app import mesh_node
from galenatack.app import mesh_wiring
from galenatack.app import system_clock
from galenatack.links import http_client
from galenatack.settings import fleet_bounds
from galenatack.settings import mesh_settings
from standins.mesh import fake_target
from standins.mesh import operator_config
from standins.store import node_table

SETTLE_S = 10.0
LISTENERS = 6
DEFAULT_BOUNDS = fleet_bounds.FleetBounds()
REGION_DELAY_S = 0.03
_HOSTS = itertools.count()


def free_addresses(count):
    """Returns loopback addresses that are currently free.

    Each call uses its own host, never 127.0.0.1: outgoing connections use local
    ports there, and one could take a port before its listener opens.
    """
    number = next(_HOSTS)
    process, group = os.getpid() % 250, number // 250 % 250
    host = f"127.{process + 2}.{group}.{number % 250 + 1}"
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    addresses = [f"{host}:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Member:
    """One node and its target."""

    def __init__(
        self,
        store,
        name,
        service,
        index,
        region="region",
        bounds=DEFAULT_BOUNDS,
    ):
        addresses = free_addresses(LISTENERS)
        self.name = name
        self.target = fake_target.FakeTarget(
            target_id=f"i-{name}", service=service, address=addresses[0]
        )
        self.settings = mesh_settings.MeshSettings(
            node_id=name,
            data_centre=f"dc-{index % 2}",
            region=region,
            service=service,
            target_address=addresses[0],
            caller_address=addresses[1],
            control_address=addresses[2],
            ready_address=addresses[3],
            peer_address=addresses[4],
            metrics_address=addresses[5],
            store_address="",
            bounds=bounds,
        )
        self.cut_data_centres = frozenset()
        self._index = index
        self.rebuild(store)
        self.task = None

    def rebuild(self, store):
        """Makes the node; it remembers nothing of a previous run."""
        self.parts = mesh_wiring.wire(
            self.settings,
            clock=system_clock.SystemClock(),
            rng=random.Random(self._index),
            store=node_table.NodeTable(store=store, node_id=self.name),
        )
        # The settings of these nodes allow no faults.
        self.parts.peers.fault_injector.is_cut = self._is_cut
        self.parts.peers.fault_injector.delay_s = self._delay_s
        self.node = mesh_node.MeshNode(self.parts)

    def _delay_s(self, region):
        return 0.0 if region == self.settings.region else REGION_DELAY_S

    def _is_cut(self, data_centre):
        return data_centre in self.cut_data_centres

    async def start(self):
        """Starts the target and the node."""
        await self.target.server.listen()
        self.task = asyncio.create_task(self.node.run())

    async def stop(self):
        """Stops the node and its target abruptly."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.target.server.close()
        await self.parts.target.close()


class SmallFleet:
    """Starts members in turn and waits until all know and reach each other."""

    def __init__(self, *services, regions=("region",), **options):
        self.store = node_table.SharedStore()
        self.store.operator_writes(
            "op", "config", operator_config.config(2, set(services))
        )
        self.members = [
            Member(
                self.store,
                f"n{index}",
                service,
                index,
                regions[index % len(regions)],
                **options,
            )
            for index, service in enumerate(services)
        ]
        self._requests = 0

    async def __aenter__(self):
        for member in self.members:
            await member.start()
        await self.until(self._is_settled)
        return self

    async def __aexit__(self, *exc):
        for member in self.members:
            with contextlib.suppress(asyncio.CancelledError):
                await member.stop()

    def cut_border(self, *, is_cut=True):
        """Cuts each data centre off from the others, or heals the cuts."""
        names = {member.settings.data_centre for member in self.members}
        for member in self.members:
            others = names - {member.settings.data_centre}
            member.cut_data_centres = frozenset(others if is_cut else ())

    async def call(self, member, host, path, *, method="GET", body=b"", **more):
        """Sends one request to a node and returns the answer."""
        self._requests += 1
        client = http_client.HttpClient(
            address=member.settings.caller_address,
            max_connections=1,
            connect_timeout_s=1.0,
            max_answer_bytes=1_000_000,
        )
        headers = (
            (b"host", host.encode()),
            (b"x-attempt-id", more.get("attempt", b"a%d" % self._requests)),
            (b"x-deadline-ms", b"%d" % more.get("deadline_ms", 1500)),
            *more.get("headers", ()),
        )
        try:
            return await client.request(
                method, path, headers=headers, body=body
            )
        finally:
            await client.close()

    async def ask_ready(self, member):
        """Returns the status of a node's readiness check."""
        client = http_client.HttpClient(
            address=member.settings.ready_address,
            max_connections=1,
            connect_timeout_s=1.0,
            max_answer_bytes=1000,
        )
        answer = await client.request("GET", "/v1/ready")
        await client.close()
        return answer.status

    async def until(self, condition):
        """Waits until a condition holds."""
        async with asyncio.timeout(SETTLE_S):
            while not condition():
                for member in self.members:
                    if member.task is not None and member.task.done():
                        # Raises the error of a node that failed to start.
                        member.task.result()
                await asyncio.sleep(0.02)

    def _is_settled(self):
        for member in self.members:
            if member.parts.registry.current is None:
                task = asyncio.ensure_future(self._announce(member))
                task.add_done_callback(lambda done: done.exception())
        known = {member.name for member in self.members}
        return all(
            {
                record.node_id
                for record in member.parts.members.live()
                if record.target_id
            }
            == known
            and member.parts.config.version
            and all(
                member.parts.peers.is_connected(name)
                for name in known - {member.name}
            )
            for member in self.members
        )

    async def _announce(self, member):
        with contextlib.suppress(Exception):
            await member.target.announce(member.settings.control_address)
