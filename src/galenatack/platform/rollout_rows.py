"""Decodes the operator's rollout orders and encodes their progress."""

import json
import typing

from galenatack import exceptions
from galenatack import json_document
from galenatack.interfaces import shared_table
from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.model import rollout_progress
from galenatack.model import row_change
from galenatack.model import store_revision
from galenatack.model import table_row
from galenatack.platform import _values

ORDER_TABLE = "op"
ORDER_PREFIX = "rollout/"
PROGRESS_TABLE = "galenatack-rollouts"
_STATUS_TABLE = "status"

_STATES = {
    rollout_phase.RolloutPhase.TRIAL: "running",
    rollout_phase.RolloutPhase.SHIFT: "running",
    rollout_phase.RolloutPhase.ALL: "running",
    rollout_phase.RolloutPhase.DONE: "completed",
    rollout_phase.RolloutPhase.TAKEN_BACK: "rolled_back",
}


def decode_order(row: table_row.TableRow) -> rollout_order.RolloutOrder:
    """Decodes the order of a row.

    Raises:
        exceptions.DocumentError: Any part is malformed.
    """
    document = _document(row)
    return rollout_order.RolloutOrder(
        service=_values.field(document, "service", _values.text),
        # `to` is the version that receives the traffic.
        version=_values.field(document, "to", _values.text),
        duration_ms=_values.field(document, "duration", _values.duration_ms),
        revision=store_revision.number(row.revision),
        row_revision=row.revision,
    )


def decode_progress(
    row: table_row.TableRow,
) -> rollout_progress.RolloutProgress:
    """Decodes the progress of a row that a node wrote.

    Raises:
        exceptions.DocumentError: Any part is malformed.
    """
    document = _document(row)
    return rollout_progress.RolloutProgress(
        service=_values.field(document, "service", _values.text),
        version=_values.field(document, "version", _values.text),
        order_revision=_values.field(
            document, "order_revision", _values.non_negative_int
        ),
        phase=_values.field(document, "phase", _phase),
        reason=_values.field(document, "reason", str),
        written_by=_values.field(document, "written_by", str),
        revision=row.revision,
    )


class RolloutRows:
    """Implements `interfaces.rollout_journal.RolloutJournal`.

    The progress and the status for the operator are written in one transaction.

    Args:
        table: The shared tables.
    """

    def __init__(self, *, table: shared_table.SharedTable):
        self._table = table

    async def write(
        self, progress: rollout_progress.RolloutProgress, *, expected: int
    ) -> int:
        """Writes progress and returns its revision.

        Raises:
            exceptions.TransactionConflictError: Another node changed the row.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: It may have been written, or be
                written later.
        """
        document = progress._asdict()
        del document["revision"]
        state = _STATES[rollout_phase.RolloutPhase(progress.phase)]
        status = {"state": state, "to": progress.version}
        status_key = ORDER_PREFIX + progress.service
        return await self._table.commit(
            row_change.RowChange(
                expected=((PROGRESS_TABLE, progress.service, expected),),
                writes=(
                    (PROGRESS_TABLE, progress.service, _encode(document)),
                    (_STATUS_TABLE, status_key, _encode(status)),
                ),
            )
        )


def _phase(value: typing.Any) -> str:
    return rollout_phase.RolloutPhase(value).value


def _document(row: table_row.TableRow) -> object:
    try:
        return json_document.load(row.value)
    except exceptions.DocumentError as error:
        raise exceptions.DocumentError(f"{row.key}: {error}") from error


def _encode(document: dict) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()
