"""The write path of move states, implemented by the acceptor."""

import typing

from galenatack.model import entry
from galenatack.model import move_state
from galenatack.model import row_check


class MoveWriter(typing.Protocol):
    """Subset of `config.acceptor.Acceptor` used by moves."""

    async def write_move(
        self,
        state: move_state.MoveState,
        *,
        checks: tuple[row_check.RowCheck, ...],
        extra_puts: tuple[tuple[str, object], ...] = (),
    ) -> entry.Entry:
        """Accepts a move state as one change of the log.

        Args:
            state: The new state; its row is `entry/move/<service>`.
            checks: Checks in addition to those of the acceptor. A conflict
                on `head` is retried; a failure of one of these is not.
            extra_puts: Further entries of the same transaction, as (entry key,
                model value), each with a separate log row.

        Raises:
            exceptions.TransactionConflictError: One of `checks` failed.
            exceptions.PlatformUnavailableError: The table refused.
            exceptions.OutcomeUnknownError: The answer was lost and the
                operation row could not be read.
        """

    async def read_entry(self, key: str) -> tuple[entry.Entry, int] | None:
        """Reads an entry by its key, such as `move/prices`.

        Returns:
            The entry and the revision of its row `entry/<key>`, or None.
        """
