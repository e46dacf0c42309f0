"""Node processes with a store and targets, and crowds of raw connections."""

import asyncio
import contextlib
import os
import pathlib
import socket
import tempfile

import yaml

from galenatack import exceptions
from galenatack.links import http_client
from soak import node_process
from soak import store_server
from standins.mesh import fake_target
from standins.mesh import operator_config
from standins.store import node_table

HOST = "a.example"
STORE_PORT = 8500
START_S = 30.0
ANSWER_S = 30.0
STEADY_S = 1.5
MAX_SETTLE_S = 40.0
END_S = 60.0
KEPT_DESCRIPTORS = 200
"""Descriptors of a machine's limit that are kept for files."""


class BesiegedNode:
    """One node process on addresses of its own.

    Args:
        memory_mb: Memory of its machine, in its settings.
        max_fds: Descriptors of its machine, in its settings.
        beside: A node whose store it shares; None for a store of its own. Its
            target then has another service, so that all requests are served
            by the target of `beside`.
        on_listening: Coroutine function that is called with the node once it
            takes connections, before its target announces itself.

    Attributes:
        target: Its target, in this process.
    """

    def __init__(
        self, *, memory_mb=0, max_fds=0, beside=None, on_listening=None
    ):
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self._on_listening = on_listening
        self._index = 0 if beside is None else beside._index + 1
        self._service = "a" if beside is None else "b"
        self._base = os.getpid() % 200 + 30
        self.store_address = f"127.{self._base}.1.1:{STORE_PORT}"
        self._has_store = beside is None
        self._stack = contextlib.AsyncExitStack()
        self._crowd = []
        self._pid = 0
        self._high_sockets = 0

    async def __aenter__(self):
        try:
            await self._open()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _open(self):
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        if self._has_store:
            await self._start_store()
        self.process = node_process.NodeProcess(
            index=self._index,
            base=self._base,
            folder=pathlib.Path(folder),
            place=("dc", "region"),
            service=self._service,
            store_address=self.store_address,
        )
        self._add_limits(pathlib.Path(folder) / f"{self.process.name}.yaml")
        await self.process.open()
        self._stack.push_async_callback(self.process.close)
        self.target = fake_target.FakeTarget(
            target_id=f"i-{self._service}",
            service=self._service,
            address=self.process.address(node_process.TARGET_PORT),
        )
        await self.target.server.listen()
        self._stack.callback(self.target.server.close)
        self.process.start()
        self._pid = self.process.pid
        if self._on_listening is not None:
            await self._wait_listening()
            await self._on_listening(self)
        try:
            await self._start()
        except TimeoutError:
            print(self.process.log_end())
            raise

    async def __aexit__(self, *exc):
        self.leave()
        await self._stack.aclose()

    async def _start_store(self):
        store = node_table.SharedStore()
        store.operator_writes("op", "config", operator_config.config(2, {"a"}))
        server = store_server.StoreServer(
            address=self.store_address, store=store
        )
        await server.start()
        self._stack.callback(server.close)

    async def _wait_listening(self):
        async with asyncio.timeout(START_S):
            while not await self.connect(1):
                await asyncio.sleep(0.05)
        self.leave()

    def _add_limits(self, file):
        document = yaml.safe_load(file.read_text())
        limits = {"memory_mb": self.memory_mb, "max_fds": self.max_fds}
        document["limits"] = {k: v for k, v in limits.items() if v}
        file.write_text(yaml.safe_dump(document))

    async def _start(self):
        async with asyncio.timeout(START_S):
            while True:
                with contextlib.suppress(exceptions.GalenatackError, OSError):
                    await self.target.announce(
                        self.process.address(node_process.CONTROL_PORT)
                    )
                    if await self.ask() == 200:
                        return
                await asyncio.sleep(0.1)

    async def connect(
        self, count, *, port=node_process.CALLER_PORT, receive_bytes=0
    ):
        """Opens connections and returns their sockets; refused ones are gone.

        Args:
            count: Number of connections.
            port: Port of the listener.
            receive_bytes: Size of the receive buffers, if not the default.
        """
        loop = asyncio.get_running_loop()
        sockets = []
        for _ in range(count):
            sock = socket.socket()
            self._crowd.append(sock)
            sock.setblocking(False)
            if receive_bytes:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            with contextlib.suppress(OSError):
                await loop.sock_connect(sock, (self.process.host, port))
                sockets.append(sock)
        return sockets

    async def send(self, sockets, data):
        """Sends bytes on all connections until the node takes no more."""
        await asyncio.gather(*(_send(sock, data) for sock in sockets))

    async def settle(self):
        """Waits until the node's memory no longer grows; counts its sockets."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + MAX_SETTLE_S
        high_kib, since_s = 0, loop.time()
        while loop.time() < min(since_s + STEADY_S, ends_s):
            self._high_sockets = max(self._high_sockets, self.open_sockets())
            await asyncio.sleep(0.1)
            if self.high_kib() > high_kib:
                high_kib, since_s = self.high_kib(), loop.time()

    def leave(self):
        """Closes all connections of the crowd."""
        while self._crowd:
            self._crowd.pop().close()

    async def ask(self):
        """Sends one ordinary request; returns its status."""
        client = http_client.HttpClient(
            address=self.process.address(node_process.CALLER_PORT),
            max_connections=1,
            connect_timeout_s=5.0,
            max_answer_bytes=100_000,
        )
        try:
            answer = await client.request(
                "GET",
                "/idempotent/x",
                headers=(
                    (b"host", HOST.encode()),
                    (b"x-attempt-id", b"ordinary"),
                ),
            )
            return answer.status
        finally:
            await client.close()

    async def ask_until_served(self):
        """Asks again, as a caller that is told to come back does.

        Returns:
            The last status; 0 if there was no answer.
        """
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                while status != 200:
                    with contextlib.suppress(
                        exceptions.GalenatackError, OSError
                    ):
                        status = await self.ask()
                    await asyncio.sleep(0.2)
        return status

    async def wait_closed(self, count):
        """Waits until at most `count` sockets are open; returns their number.

        Connections whose clients have left are closed in the end.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                while self.open_sockets() > count:
                    await asyncio.sleep(0.2)
        return self.open_sockets()

    async def wait_ended(self):
        """Waits until the process ends by itself; returns its exit status.

        Raises:
            TimeoutError: It does not end.
        """
        async with asyncio.timeout(END_S):
            while (status := self.process.exit_status()) is None:
                await asyncio.sleep(0.05)
        return status

    def is_alive(self):
        """Returns whether the process that was started still runs."""
        return not self.process.exit_fault() and self.process.pid == self._pid

    def high_kib(self):
        """Returns the most resident memory that the process has had."""
        status = pathlib.Path(f"/proc/{self._pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        return 0

    def open_sockets(self):
        """Returns the number of sockets that the process has open."""
        count = 0
        for link in pathlib.Path(f"/proc/{self._pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                count += os.readlink(link).startswith("socket:")
        return count

    async def check(self, test):
        """Checks the process, its memory, its sockets, and that it serves."""
        test.assertTrue(self.is_alive())
        status = await self.ask_until_served()
        high_mb = self.high_kib() / 1024
        sockets = max(self._high_sockets, self.open_sockets())
        # The bounds are checked; the figures tell how near they are.
        print(f"{test.id()}: {high_mb:.0f} MB, {sockets} sockets, {status}")
        test.assertTrue(self.is_alive())
        if self.memory_mb:
            test.assertLess(high_mb, self.memory_mb)
        if self.max_fds:
            test.assertLess(sockets, self.max_fds - KEPT_DESCRIPTORS)
        test.assertEqual(status, 200)


async def _send(sock, data):
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError, TimeoutError):
        # A node that has no room does not read: the rest stays unsent.
        async with asyncio.timeout(STEADY_S):
            await loop.sock_sendall(sock, data)
