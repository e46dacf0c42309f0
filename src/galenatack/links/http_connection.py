"""An HTTP/2 connection of the HTTP listener."""

import asyncio
import typing

import hypercorn.asyncio.tcp_server
import hypercorn.events


class HttpConnection(hypercorn.asyncio.tcp_server.TCPServer):
    """hypercorn's connection with a single idle timer.

    To limit the idle time, hypercorn stops and starts a task with a timer for
    each request. Here one task runs as long as the connection and checks the
    time of the last request.
    """

    def __init__(self, *arguments: typing.Any):
        super().__init__(*arguments)
        self._idle_since_s: float | None = self.loop.time()

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Sends bytes, and tracks whether the connection is idle."""
        if isinstance(event, hypercorn.events.Updated):
            self._idle_since_s = self.loop.time() if event.idle else None
            if event.idle and self.context.terminated.is_set():
                self._task_group.spawn(self._initiate_server_close)
            return
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        """Reads until the end of the connection, then stops the idle timer."""
        await super()._read_data()
        await self.idle_task.stop()

    async def _idle_timeout(self) -> None:
        limit_s = self.config.keep_alive_timeout
        wait_s = limit_s
        while wait_s > 0:
            try:
                await asyncio.wait_for(self.context.terminated.wait(), wait_s)
            except TimeoutError:
                wait_s = limit_s - self._idle_s()
            else:
                break
        if self._idle_since_s is not None:
            # A busy connection closes after its answer.
            await asyncio.shield(self._initiate_server_close())

    def _idle_s(self) -> float:
        if self._idle_since_s is None:
            return 0.0
        return self.loop.time() - self._idle_since_s
