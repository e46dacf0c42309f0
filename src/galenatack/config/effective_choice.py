"""The service choice with the result of the latest move applied."""

from galenatack.config import entry_codec
from galenatack.model import entry
from galenatack.model import move_phase
from galenatack.model import service_choice


def effective_choice(
    choice_entry: entry.Entry, move_entry: entry.Entry | None
) -> service_choice.ServiceChoice:
    """Returns the choice, with the version of a later `done` move.

    A move that ended `done` after the choice was written replaces the version
    of the choice. The verdict therefore needs no second entry, and each seq
    has a single log row.

    Args:
        choice_entry: `service/<name>`.
        move_entry: `move/<name>`, or None if the service has no move.
    """
    choice = entry_codec.parse_choice(choice_entry.body)
    if move_entry is None or move_entry.seq < choice_entry.seq:
        return choice
    move = entry_codec.parse_move(move_entry.body)
    if move.phase != move_phase.MovePhase.DONE:
        return choice
    return choice._replace(version=move.to_version)
