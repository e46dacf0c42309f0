"""The write path of moves over a memory table, as the acceptor has it."""

import hashlib
import json

from galenatack import exceptions
from galenatack.interfaces import table as table_interface
from galenatack.model import entry
from galenatack.model import move_state
from galenatack.model import row_check
from galenatack.model import service_choice
from galenatack.model import transaction
from galenatack.moves import move_codec

HEAD = "head"


class MemoryWriter:
    """Implements `moves.move_writer.MoveWriter`."""

    def __init__(self, table: table_interface.Table):
        self._table = table
        self._operations = 0

    async def choose(self, choice: service_choice.ServiceChoice) -> None:
        """Writes a service choice without any condition."""
        await self._accept(((f"service/{choice.service}", choice),), ())

    async def write_move(
        self,
        state: move_state.MoveState,
        *,
        checks: tuple[row_check.RowCheck, ...],
        extra_puts: tuple[tuple[str, object], ...] = (),
    ) -> entry.Entry:
        """Accepts a move state; races on `head` alone are retried."""
        changes = ((f"move/{state.service}", state), *extra_puts)
        return await self._accept(changes, checks)

    async def read_entry(self, key: str) -> tuple[entry.Entry, int] | None:
        """Reads an entry with the revision of its row."""
        found = await self._table.get(f"entry/{key}")
        if found is None:
            return None
        value = dict(found.value)
        value["body"] = json.dumps(value["body"]).encode()
        return entry.Entry(**value), found.revision

    async def _accept(
        self,
        changes: tuple[tuple[str, object], ...],
        checks: tuple[row_check.RowCheck, ...],
    ) -> entry.Entry:
        self._operations += 1
        operation = f"op/{id(self)}-{self._operations}"
        while True:
            try:
                return await self._try(changes, checks, operation)
            except exceptions.TransactionConflictError as error:
                if set(error.keys) != {HEAD}:
                    raise

    async def _try(
        self,
        changes: tuple[tuple[str, object], ...],
        checks: tuple[row_check.RowCheck, ...],
        operation: str,
    ) -> entry.Entry:
        head = await self._table.get(HEAD)
        seq = head.value if head else 0
        puts, entries = [], []
        for number, (key, value) in enumerate(changes, start=1):
            body = move_codec.dump(value)
            digest = hashlib.sha256(body).hexdigest()
            entries.append(entry.Entry(key, seq + number, 1, digest, body))
            fields = entries[-1]._asdict() | {"body": json.loads(body)}
            puts.append((f"entry/{key}", fields))
            puts.append((f"log/{seq + number:012d}", {"key": key}))
        puts.append((HEAD, seq + len(changes)))
        puts.append((operation, seq + len(changes)))
        head_check = row_check.RowCheck(HEAD, head.revision if head else 0)
        change = transaction.Transaction((head_check, *checks), tuple(puts))
        try:
            await self._table.commit(change)
        except exceptions.OutcomeUnknownError:
            if await self._table.get(operation) is None:
                raise
        return entries[0]
