"""The application object of a node that runs on a shared platform."""

import logging

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.app import loop_monitor
from galenatack.app import mesh_parts
from galenatack.app import operator_pages
from galenatack.app import shutdown_schedule
from galenatack.app import supervisor
from galenatack.links import connection_limits
from galenatack.links import gc_tuning
from galenatack.links import pipelined_server
from galenatack.model import target_state
from galenatack.settings import mesh_settings

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000

ROW_DELETE_TIMEOUT_S = 1.0
POLL_S = 0.05
LOG_REPORT_S = 5.0


class MeshNode:
    """Runs the parts of a node; the hooks are `start`, `serve`, `stop`.

    Args:
        parts: The wired parts.
        follow_settings: Task that reloads a changed settings file, or None.
    """

    def __init__(
        self,
        parts: mesh_parts.MeshParts,
        *,
        follow_settings: supervisor.TaskFunction | None = None,
    ):
        self._parts = parts
        self._follow_settings = follow_settings
        self._bounds = parts.settings.bounds
        self._stopping = anyio.Event()
        self._metrics = pipelined_server.PipelinedServer(
            address=parts.settings.metrics_address,
            respond=operator_pages.OperatorPages(parts=parts).respond,
            limits=connection_limits.short_requests(),
            account=parts.account,
            max_connections=parts.account.bounds.own_connections,
        )

    def apply(self, settings: mesh_settings.MeshSettings) -> None:
        """Puts changed settings in force."""
        self._bounds = settings.bounds
        self._parts.slack.bounds = settings.bounds.retries
        self._parts.warmup.warmth.bounds = settings.bounds
        self._parts.tenants.book.apply(settings.bounds)
        self._parts.estimates.is_enabled = settings.bounds.uses_estimates

    def request_stop(self) -> None:
        """Begins a graceful stop."""
        self._stopping.set()

    async def run(self) -> None:
        """Runs until a stop was requested and the calls have ended."""
        async with anyio.create_task_group() as tasks:
            await self.start(tasks)
            self.serve(tasks)
            await self._stopping.wait()
            await self.stop()
            tasks.cancel_scope.cancel()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Opens the listeners.

        Raises:
            OSError: An address cannot be used.
        """
        parts = self._parts
        for server in (
            parts.control,
            parts.ready,
            parts.callers,
            self._metrics,
        ):
            await server.listen()
            tasks.start_soon(server.run)
        await tasks.start(parts.peers.run)
        parts.membership.start_serving()
        gc_tuning.freeze()
        _LOGGER.info(
            "event=started node=%s data_centre=%s region=%s service=%s",
            parts.settings.node_id,
            parts.settings.data_centre,
            parts.settings.region,
            parts.settings.service,
        )

    def serve(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the background tasks; each is restarted when it fails."""
        parts = self._parts
        task_supervisor = supervisor.Supervisor(
            clock=parts.clock, events=parts.events
        )
        task_functions = {
            "membership": parts.membership.run,
            "discovery": parts.discovery.run,
            "links": parts.warmer.run,
            "warmth": parts.warmup.probe.run,
            "rollouts": parts.driver.run,
            "quotas": parts.tenants.quotas.run,
            "crash-archive": parts.crash_archive.run,
            "log-report": self._report_dropped_lines,
            "loop-monitor": loop_monitor.LoopMonitor(
                clock=parts.clock, stats=parts.stats
            ).run,
        }
        if parts.tenants.exchange is not None:
            task_functions["key-freshness"] = parts.tenants.exchange.run
        for watcher in parts.watchers:
            task_functions[f"watch-{watcher.name}"] = watcher.run
        if self._follow_settings is not None:
            task_functions["settings"] = self._follow_settings
        for name, task in task_functions.items():
            tasks.start_soon(task_supervisor.supervise, name, task)

    async def stop(self) -> None:
        """Stops gracefully within the grace time, draining calls."""
        parts = self._parts
        started_s = parts.clock.monotonic_s()
        schedule = shutdown_schedule.make(self._bounds.grace_ms / MS_PER_S)
        ends_s = started_s + schedule.calls_end_s
        parts.shutdown.begin(ends_s)
        _LOGGER.info(
            "event=stopping calls=%d gate_calls=%d calls_end_ms=%d",
            parts.router.in_flight,
            parts.gate.in_flight,
            schedule.calls_end_s * MS_PER_S,
        )
        await parts.membership.leave()
        await self._delete_row_if_gone()
        await self._sleep_until(started_s + schedule.gate_closes_s)
        parts.gate.close()
        await self._sleep_until(started_s + schedule.callers_drain_s)
        parts.shutdown.require_end_in_time()
        parts.callers.drain()
        await self._sleep_until(started_s + schedule.callers_finish_s)
        parts.callers.finish()
        await self._drain(ends_s)
        _LOGGER.info(
            "event=stopped after_ms=%d calls=%d gate_calls=%d",
            (parts.clock.monotonic_s() - started_s) * MS_PER_S,
            parts.router.in_flight,
            parts.gate.in_flight,
        )

    async def _delete_row_if_gone(self) -> None:
        """Deletes this node's discovery row if its target has ended."""
        parts = self._parts
        if parts.registry.state != target_state.TargetState.GONE:
            return
        with anyio.move_on_after(ROW_DELETE_TIMEOUT_S):
            try:
                await parts.discovery.unregister()
            except exceptions.PlatformError as error:
                # Another node reaps the row later.
                _LOGGER.info("event=row-not-deleted error=%s", error)

    async def _drain(self, deadline_s: float) -> None:
        parts = self._parts
        while parts.clock.monotonic_s() < deadline_s:
            is_busy = parts.router.in_flight or parts.gate.in_flight
            if not is_busy and not parts.callers.connections:
                return
            await parts.clock.sleep_s(POLL_S)

    async def _sleep_until(self, moment_s: float) -> None:
        left_s = moment_s - self._parts.clock.monotonic_s()
        if left_s > 0:
            await self._parts.clock.sleep_s(left_s)

    async def _report_dropped_lines(self) -> None:
        while True:
            await self._parts.clock.sleep_s(LOG_REPORT_S)
            self._parts.log.report_dropped()
