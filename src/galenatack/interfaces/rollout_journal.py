"""Interface of the journal of rollout progress."""

import typing

from galenatack.model import rollout_progress


class RolloutJournal(typing.Protocol):
    """Stores the agreed progress of rollouts with compare-and-set writes."""

    async def write(
        self, progress: rollout_progress.RolloutProgress, *, expected: int
    ) -> int:
        """Writes progress and returns its revision.

        Args:
            progress: Progress to write.
            expected: Revision that the progress row must have; 0 if it must
                not exist.

        Raises:
            exceptions.TransactionConflictError: Another node has written the
                row.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The progress may have been
                written, or may still be written later.
        """
