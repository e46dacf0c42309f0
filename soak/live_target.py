"""Targets that announce themselves, leave, crash and restart."""

import asyncio
import contextlib
import random
import time

from galenatack import exceptions
from soak import node_process
from soak import record
from standins.mesh import fake_target

ANNOUNCE_S = 0.5
MAX_WORK_S = 0.12
RESTART_S = 1.0
DEADLY_BODY = b"deadly"
"""Requests with this body crash the target."""

LEAVE_S = 3.0
"""A leaving target finishes its work and stays reachable this long."""


class LiveTarget:
    """The target beside one node.

    Args:
        node: Its node.
        seen: Receives its runs.
        rng: Random source for its work time.

    Attributes:
        version: Version that it announces.
    """

    def __init__(
        self,
        *,
        node: node_process.NodeProcess,
        seen: record.Record,
        rng: random.Random,
    ):
        self.version = "v1"
        self._node = node
        self._seen = seen
        self._rng = rng
        self._starts = 0
        self._state = "ready"
        self._target: fake_target.FakeTarget | None = None
        self._task: asyncio.Task | None = None
        self._restarts: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts a new target at the same address."""
        self._starts += 1
        self._state = "ready"
        self._target = fake_target.FakeTarget(
            target_id=f"t{self._node.index}-{self._starts}",
            service=self._node.service,
            address=self._node.address(node_process.TARGET_PORT),
            version=self.version,
            born_ms=time.time_ns() // 1_000_000,
        )
        self._target.work_s = self._rng.uniform(0.01, MAX_WORK_S)
        self._target.on_run = self._record_run
        self._target.is_deadly = lambda request: request.body == DEADLY_BODY
        self._target.on_crash = self._restart_after_deadly
        await self._target.server.listen()
        self._task = asyncio.create_task(self._announce())

    async def crash(self) -> None:
        """Stops abruptly, without announcing it."""
        self._target.on_crash = None
        # Whoever calls this starts it again.
        for task in self._restarts:
            task.cancel()
        self._task.cancel()
        self._target.server.close()

    async def leave(self) -> None:
        """Announces that it is leaving, drains and stops."""
        self._state = "draining"
        is_acknowledged = False
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LEAVE_S
        while loop.time() < end_s:
            if not is_acknowledged and await self._send_announcement():
                is_acknowledged = True
                self._seen.left_s[self._target.target_id] = loop.time()
            await asyncio.sleep(ANNOUNCE_S)
        self._task.cancel()
        with contextlib.suppress(exceptions.CallError):
            await self._target.leave(self._control)
        self._target.server.close()

    def close(self) -> None:
        """Stops the target at the end of a run."""
        for task in self._restarts:
            task.cancel()
        if self._task is not None:
            self._task.cancel()
            self._target.server.close()

    @property
    def _control(self) -> str:
        return self._node.address(node_process.CONTROL_PORT)

    def _restart_after_deadly(
        self, target: fake_target.FakeTarget, _: list[str]
    ) -> None:
        self._seen.deadly_crashes_s.append(asyncio.get_running_loop().time())
        self._task.cancel()
        self._restarts.add(asyncio.create_task(self._restart(target)))

    async def _restart(self, target: fake_target.FakeTarget) -> None:
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        await asyncio.sleep(RESTART_S)
        # Another fault may have started a new one meanwhile.
        if self._target is target and self._state == "ready":
            await self.start()
        self._seen.unplanned.append(
            record.Span(from_s, loop.time(), record.DEADLY)
        )

    async def _announce(self) -> None:
        while True:
            await self._send_announcement()
            await asyncio.sleep(ANNOUNCE_S)

    async def _send_announcement(self) -> bool:
        try:
            async with asyncio.timeout(ANNOUNCE_S):
                status = await self._target.announce(
                    self._control, state=self._state
                )
        except (exceptions.CallError, TimeoutError):
            # The node is down; the target keeps announcing itself.
            return False
        return status == 200

    def _record_run(
        self, target: fake_target.FakeTarget, attempt_id: str
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self._seen.runs[attempt_id].append(
            record.Run(now_s, target.target_id, target.version)
        )
