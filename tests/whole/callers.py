"""Load generator of a whole-node run."""

import anyio
import anyio.abc

from galenatack import exceptions
from tests.whole import whole_node

READS_PER_S = 15.0
POSTINGS_PER_S = 3.0
MAX_ATTEMPTS = 3


class Callers:
    """Sends reads, and postings that are retried through other nodes.

    Args:
        world: The run.
        tasks: Task group of the calls, which may outlive the round.
    """

    def __init__(self, world, tasks: anyio.abc.TaskGroup):
        self._world = world
        self._rng = world.rng
        self._tasks = tasks
        self._number = 0

    async def read(self) -> None:
        """Sends reads until cancelled."""
        while True:
            await anyio.sleep(self._rng.expovariate(READS_PER_S))
            self._tasks.start_soon(self._read_once, self._next_name())

    async def post(self) -> None:
        """Sends postings until cancelled."""
        while True:
            await anyio.sleep(self._rng.expovariate(POSTINGS_PER_S))
            self._tasks.start_soon(self._post_with_retries, self._next_name())

    def _next_name(self) -> str:
        self._number += 1
        return f"{anyio.current_time():.6f}-{self._number}"

    def _any_node(self):
        return self._world.nodes[self._rng.choice(sorted(self._world.nodes))]

    async def _read_once(self, name: str) -> None:
        path = f"/read/{name}"
        result = await self._any_node().call(
            "GET",
            f"/{whole_node.SERVICE}{path}",
            (("galenatack-deadline-ms", "1000"),),
            b"",
        )
        if result is not None:
            self._world.ledger.note_result("", f"{path} ".encode(), result)

    async def _post_with_retries(self, name: str) -> None:
        key = f"plain-{name}"
        if self._rng.random() < 0.3:
            issue = self._any_node().parts.caller_app._issue_ticket
            try:
                key = issue(whole_node.SERVICE)
            except exceptions.CallError:
                return
        outcomes = self._world.ledger.results[key]
        for _ in range(MAX_ATTEMPTS):
            deadline_ms = self._rng.choice((60, 300, 1000))
            result = await self._any_node().call(
                "POST",
                f"/{whole_node.SERVICE}/offers",
                (
                    ("galenatack-deadline-ms", str(deadline_ms)),
                    ("idempotency-key", key),
                ),
                key.encode(),
            )
            if result is None:
                outcomes.append("none")
            else:
                expected = f"/offers {key}".encode()
                self._world.ledger.note_result(key, expected, result)
                if result.outcome == "answer" and self._rng.random() < 0.7:
                    return
            await anyio.sleep(self._rng.choice((0.0, 0.05, 0.5, 3.0)))
