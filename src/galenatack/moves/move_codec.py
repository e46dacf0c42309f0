"""Reads move states and service choices from the bodies of entries."""

import json

from galenatack.model import move_state
from galenatack.model import service_choice


def parse_move(body: bytes) -> move_state.MoveState:
    """Returns the move state of an entry body."""
    fields = json.loads(body)
    figures = tuple(
        (name, float(value)) for name, value in fields.get("figures", ())
    )
    return move_state.MoveState(**{**fields, "figures": figures})


def parse_choice(body: bytes) -> service_choice.ServiceChoice:
    """Returns the service choice of an entry body."""
    return service_choice.ServiceChoice(**json.loads(body))


def dump(value: move_state.MoveState | service_choice.ServiceChoice) -> bytes:
    """Returns canonical JSON."""
    fields = value._asdict()
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()
