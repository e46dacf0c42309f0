"""The application object of a node."""

import anyio
import anyio.abc

from galenatack.app import admin_operations
from galenatack.app import admin_routes
from galenatack.app import parts as parts_module
from galenatack.app import supervisor
from galenatack.app import target_probe
from galenatack.links import admin_api
from galenatack.links import gc_tuning
from galenatack.links import http_server

MS_PER_S = 1000
# Time for the announcement of a stop to reach the other nodes.
LEAVE_NOTICE_S = 0.5
ADMIN_DRAIN_S = 1.0
# Busy callers use each connection within this time, and the answer announces
# that the connection will be closed. With 1 s, 2 of 22,000 calls were sent on a
# connection that was just being closed.
IDLE_GRACE_S = 4.0


class Node:
    """Runs the parts of a node; the hooks are `start`, `serve`, `stop`.

    Args:
        parts: The wired parts.
    """

    def __init__(self, parts: parts_module.Parts):
        self._parts = parts
        self._stopping = anyio.Event()
        self._stop_callers = anyio.Event()
        self._callers_closed = anyio.Event()
        self._stop_admin = anyio.Event()
        self._admin_closed = anyio.Event()
        self.is_ready = False
        operations = admin_operations.AdminOperations(
            parts=parts, is_ready=lambda: self.is_ready
        )
        self._admin = admin_api.AdminApi(
            routes=admin_routes.routes(operations),
            trust=parts.settings.trust,
        )

    def request_stop(self) -> None:
        """Begins a graceful stop."""
        self._stopping.set()

    async def run(self) -> None:
        """Runs until a stop was requested and the calls have ended."""
        async with anyio.create_task_group() as tasks:
            await self.start(tasks)
            tasks.start_soon(self.serve)
            await self._stopping.wait()
            await self.stop()
            tasks.cancel_scope.cancel()
        await self._parts.platform.close()
        await self._parts.target.close()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts links and background tasks."""
        parts = self._parts
        parts.events.record("node-started", version=parts.settings.version)
        await tasks.start(parts.peers.run)
        task_supervisor = supervisor.Supervisor(
            clock=parts.clock, events=parts.events
        )
        for name, task in parts.background_tasks():
            tasks.start_soon(task_supervisor.supervise, name, task)
        tasks.start_soon(self._serve_admin)
        tasks.start_soon(self._serve_callers)

    async def serve(self) -> None:
        """Rebuilds the configuration, waits for the target and joins."""
        parts = self._parts
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(parts.rebuild.run)
            # The rebuilt configuration takes effect only once other nodes
            # hold it too.
            tasks.start_soon(parts.propagation.start_gate.wait)
            tasks.start_soon(
                target_probe.wait_until_open,
                parts.settings.target_url,
                parts.clock,
            )
        parts.updater.rebuild()
        # Done before the first call, because the collection pauses the process.
        gc_tuning.freeze()
        if not parts.gate.is_leaving:
            parts.membership.start_serving()
            self.is_ready = True
            parts.events.record("node-serving")

    async def stop(self) -> None:
        """Leaves the membership, drains calls and closes the listeners."""
        parts = self._parts
        self.is_ready = False
        parts.events.record("node-leaving", in_flight=parts.gate.in_flight)
        parts.gate.leave()
        parts.caller_app.close_connections()
        await parts.membership.leave()
        drain_s = parts.settings.drain_ms / MS_PER_S
        await parts.clock.sleep_s(LEAVE_NOTICE_S)
        self._stop_callers.set()
        is_drained = await parts.gate.drain(drain_s)
        # The callers' listener closes once their calls to other targets end.
        with anyio.move_on_after(drain_s):
            await self._callers_closed.wait()
        parts.events.record("node-stopped", is_drained=is_drained)
        self._stop_admin.set()
        with anyio.move_on_after(2 * ADMIN_DRAIN_S):
            await self._admin_closed.wait()

    async def _serve_callers(self) -> None:
        await http_server.serve(
            self._parts.caller_app,
            address=self._parts.settings.call_address,
            shutdown=self._stop_callers,
            drain_s=self._parts.settings.drain_ms / MS_PER_S,
            idle_grace_s=IDLE_GRACE_S,
        )
        self._callers_closed.set()

    async def _serve_admin(self) -> None:
        await http_server.serve(
            self._admin,
            address=self._parts.settings.admin_address,
            shutdown=self._stop_admin,
            drain_s=ADMIN_DRAIN_S,
            tls=self._parts.peer_tls.admin,
        )
        self._admin_closed.set()
