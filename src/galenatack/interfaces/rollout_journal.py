"""Where the agreed progress of rollouts is written."""

import typing

from galenatack.model import rollout_progress


class RolloutJournal(typing.Protocol):
    """Writes progress, only if the row is still as it was read."""

    async def write(
        self, progress: rollout_progress.RolloutProgress, *, expected: int
    ) -> int:
        """Writes progress and returns its revision.

        Args:
            progress: What to write.
            expected: Revision of the progress row that must still hold; 0
                when there must be none.

        Raises:
            exceptions.TransactionConflictError: Another node was first.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: It may be written, or be later.
        """
