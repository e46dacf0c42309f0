"""The choice of a service after its moves."""

from galenatack.config import entry_codec
from galenatack.model import entry
from galenatack.model import move_phase
from galenatack.model import service_choice


def effective_choice(
    choice_entry: entry.Entry, move_entry: entry.Entry | None
) -> service_choice.ServiceChoice:
    """Returns the choice with the version that the last `done` move set.

    The later change wins: a move that ended `done` after the choice was
    written replaces its version. One entry for each change keeps a seq to a
    single log row, so the verdict needs no second entry.

    Args:
        choice_entry: `service/<name>`.
        move_entry: `move/<name>`, if there is one.
    """
    choice = entry_codec.parse_choice(choice_entry.body)
    if move_entry is None or move_entry.seq < choice_entry.seq:
        return choice
    move = entry_codec.parse_move(move_entry.body)
    if move.phase != move_phase.MovePhase.DONE:
        return choice
    return choice._replace(version=move.to_version)
