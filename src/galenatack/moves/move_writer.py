"""The write path of move states, implemented by the acceptor."""

import typing

from galenatack.model import entry
from galenatack.model import move_state
from galenatack.model import row_check


class MoveWriter(typing.Protocol):
    """What moves need from `config.acceptor.Acceptor`."""

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
            checks: Conditions besides those of the acceptor itself. Races
                on `head` are retried; a failure of one of these is not.
            extra_puts: More entries of the same transaction, as (entry key,
                model value), each with a log row of its own.

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
