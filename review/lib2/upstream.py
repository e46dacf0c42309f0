"""An upstream that follows the platform's page, with faults as options."""

import asyncio
import json
import time

from review.lib2 import deployment

SLOTS = 12
QUEUE = 48
BEAT_S = 1.5


class Upstream:
    """Runs requests beside one node and announces itself there."""

    def __init__(
        self, *, node, record, instance, version="v1", work_s=0.03, born_ms=None
    ):
        self.node = node
        self.instance = instance
        self.version = version
        self.born_ms = born_ms or time.time_ns() // 1_000_000
        self.state = "ready"
        self.work_s = work_s
        self.runs = []
        self.sequence = 0
        self._record = record
        self._server = None
        self._beats = None
        self._slots = asyncio.Semaphore(SLOTS)
        self._queued = 0
        self._handlers = set()
        self.on_run = None

    async def start(self) -> None:
        """Listens and sends heartbeats."""
        host, _, port = self.node.address(deployment.APP).rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat())
        self._record.write(
            "upstream-started", instance=self.instance, node=self.node.name
        )

    def stop_beats(self) -> None:
        """Sends no more heartbeats."""
        self._beats.cancel()

    def close(self) -> None:
        """Ends the upstream."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in tuple(self._handlers):
            task.cancel()
        self._record.write("upstream-ended", instance=self.instance)

    def document(self, *, state=None):
        """Returns the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.node.service,
            "address": self.node.address(deployment.APP),
            "zone": "z-a",
            "version": self.version,
            "capacity": SLOTS,
            "state": state or self.state,
            "warmup_left": "0ms",
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def send(self, action, document) -> int:
        """Sends a message to the control address; returns the status."""
        return await self.send_bytes(action, json.dumps(document).encode())

    async def send_bytes(self, action, body) -> int:
        """Sends the bytes of a message; returns the status."""
        status, _, _ = await deployment.exchange(
            self.node.address(deployment.CONTROL),
            "POST",
            f"/v1/instances/{self.instance}/{action}",
            headers=(("Content-Type", "application/json"),),
            body=body,
            timeout_s=1.0,
        )
        return status

    async def _beat(self) -> None:
        while True:
            await self.send("heartbeat", self.document())
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._handlers.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ")
                fields = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    if name:
                        fields[name.lower()] = value.strip()
                length = int(fields.get("content-length", "0"))
                body = await reader.readexactly(length)
                await self._respond(writer, method, target, fields, body)
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self._handlers.discard(task)
            writer.transport.abort()

    async def _respond(self, writer, method, target, fields, body) -> None:
        attempt = fields.get("x-attempt-id", "")
        if target == "/health":
            self.write(writer, 200, (("X-Instance-Id", self.instance),))
            return
        named = fields.get("x-expected-instance", self.instance)
        if named != self.instance:
            headers = (
                ("X-Attempt-Id", attempt),
                ("X-Instance-Id", self.instance),
            )
            self.write(writer, 421, headers)
            return
        if self._queued >= SLOTS + QUEUE:
            headers = (("X-Attempt-Id", attempt), ("X-Not-Executed", "1"))
            self.write(writer, 503, headers)
            return
        self._queued += 1
        try:
            async with self._slots:
                await self.run(writer, method, target, fields, body)
        finally:
            self._queued -= 1

    async def run(self, writer, method, target, fields, body) -> None:
        """Runs one request."""
        attempt = fields.get("x-attempt-id", "")
        self.runs.append((self._record.now_s(), attempt))
        self._record.write("run", instance=self.instance, attempt=attempt)
        if self.on_run is not None:
            self.on_run(attempt)
        await asyncio.sleep(self.work_s)
        headers = (
            ("X-Attempt-Id", attempt),
            ("X-Upstream-Stamp", f"{self.instance}.{attempt}"),
            ("X-Upstream-Load", f"{self._queued},0,{SLOTS}"),
        )
        self.write(writer, 200, headers, target.encode() + body)

    def write(self, writer, status, headers, body=b"") -> None:
        """Writes one answer."""
        lines = [f"HTTP/1.1 {status} Answer"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1") + body)
