"""A table whose commits outlive a cancelled client."""

import random

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.model import row
from galenatack.model import transaction
from tests.fakes import memory_table


class SlowTable:
    """Implements `interfaces.table.Table` over a `MemoryTable`.

    A commit runs in its own task. It takes effect even if the client is
    cancelled, possibly after the client got `OutcomeUnknownError`.

    Attributes:
        lost_share: Fraction of commits whose answer is lost.
    """

    def __init__(
        self,
        inner: memory_table.MemoryTable,
        tasks: anyio.abc.TaskGroup,
        *,
        rng: random.Random,
        delay_s: tuple[float, float] = (0.001, 0.03),
        lost_share: float = 0.0,
    ):
        self._inner = inner
        self._tasks = tasks
        self._rng = rng
        self._delay_s = delay_s
        self.lost_share = lost_share

    async def get(self, key: str) -> row.Row | None:
        """Reads one row after a delay."""
        await self._delay()
        return await self._inner.get(key)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> tuple[row.Row, ...]:
        """Reads rows after a delay."""
        await self._delay()
        return await self._inner.scan(prefix, after=after, limit=limit)

    async def commit(self, change: transaction.Transaction) -> int:
        """Commits a transaction in a task independent of the client."""
        ended = anyio.Event()
        answers: list[int | exceptions.PlatformError] = []

        async def serve() -> None:
            await self._delay()
            try:
                answers.append(await self._inner.commit(change))
            except exceptions.PlatformError as error:
                answers.append(error)
            ended.set()

        self._tasks.start_soon(serve)
        if self._rng.random() < self.lost_share:
            await self._delay()
            raise exceptions.OutcomeUnknownError("answer lost")
        await ended.wait()
        await self._delay()
        answer = answers[0]
        if isinstance(answer, exceptions.PlatformError):
            raise answer
        return answer

    async def _delay(self) -> None:
        await anyio.sleep(self._rng.uniform(*self._delay_s))
