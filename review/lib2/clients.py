"""Clients of the machines, each request on a new connection."""

import asyncio
import itertools

from review.lib2 import deployment


class Clients:
    """Sends requests at a steady rate to the outbound address of each node."""

    def __init__(self, *, nodes, service, kind, record, pause_s=0.05):
        self._nodes = nodes
        self._host = f"{service}.example"
        self._path = f"/{kind}/item"
        self._method = "GET" if kind == "idempotent" else "POST"
        self._record = record
        self._pause_s = pause_s
        self._numbers = itertools.count(1)
        self._tasks = set()
        self._senders = []
        self.sent_s = {}
        self.answers = {}

    def start(self) -> None:
        """Begins to send."""
        self._senders = [
            asyncio.create_task(self._send(node)) for node in self._nodes
        ]

    async def stop(self) -> None:
        """Sends no more and waits for the answers."""
        for sender in self._senders:
            sender.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=5.0)

    async def _send(self, node) -> None:
        while True:
            task = asyncio.create_task(self._request(node))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._pause_s)

    async def _request(self, node) -> None:
        attempt = f"c{next(self._numbers)}"
        self.sent_s[attempt] = self._record.now_s()
        self._record.write("sent", attempt=attempt, node=node.name)
        status, _, _ = await deployment.exchange(
            node.address(deployment.OUTBOUND),
            self._method,
            self._path,
            headers=(
                ("Host", self._host),
                ("X-Attempt-Id", attempt),
                ("X-Deadline-Ms", "1500"),
            ),
            body=b"" if self._method == "GET" else b"item",
        )
        self.answers[attempt] = status
        self._record.write("answered", attempt=attempt, status=status)
