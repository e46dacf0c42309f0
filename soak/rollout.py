"""A rollout on a store that is restored from copies."""

import asyncio
import collections
import json

from soak import record
from standins.store import node_table
from standins.store import row_store

VERSION = "v2"
DURATION_S = 6
TICK_S = 0.05
COPY_S = 1.0
COPIES = 4
_KEY = "rollout/{}"


class Rollout:
    """Orders a rollout, reads its verdicts and keeps copies of the store.

    Args:
        service: Service that gets the new version.
        store: The shared tables.
        seen: Receives the states that the operator reads.
    """

    def __init__(
        self,
        *,
        service: str,
        store: node_table.SharedStore,
        seen: record.Record,
    ):
        self._service = service
        self._store = store
        self._seen = seen
        self._copies: collections.deque[row_store.RowStore] = collections.deque(
            maxlen=COPIES
        )

    def order(self) -> None:
        """Orders the rollout in the role of the operator."""
        order = {
            "service": self._service,
            "to": VERSION,
            "duration": f"{DURATION_S}s",
        }
        self._seen.has_rollout = True
        self._store.operator_writes(
            "op", _KEY.format(self._service), json.dumps(order).encode()
        )

    def restore_copy(self, age: int) -> None:
        """Restores the store from the copy that is `age` copies old."""
        self._store.restore(self._copies[max(0, len(self._copies) - 1 - age)])
        self._copies.clear()
        self._copies.append(self._store.rows.copy())

    def order_again(self) -> None:
        """Orders the rollout again if the store has lost the order."""
        if self._seen.has_rollout and not self._read("op"):
            self.order()

    @property
    def driver(self) -> str:
        """Node that wrote the progress last; empty without one."""
        rows, _ = self._store.rows.range(
            "galenatack-rollouts", "", self._service, 1
        )
        return json.loads(rows[0].value)["written_by"] if rows else ""

    async def watch(self) -> None:
        """Records each new state and copies the store, until cancelled."""
        loop = asyncio.get_running_loop()
        next_copy_s = loop.time()
        while True:
            state = self._read("status").get("state", "")
            if not self._seen.states or state != self._seen.states[-1].state:
                self._seen.states.append(record.State(loop.time(), state))
            is_down = self._store.faults.is_down
            if loop.time() >= next_copy_s and not is_down:
                self._copies.append(self._store.rows.copy())
                next_copy_s = loop.time() + COPY_S
            await asyncio.sleep(TICK_S)

    def _read(self, table: str) -> dict[str, str]:
        key = _KEY.format(self._service)
        rows, _ = self._store.rows.range(table, "", key, 1)
        if not rows or rows[0].key != key:
            return {}
        return json.loads(rows[0].value)
