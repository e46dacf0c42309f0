"""Parses, checks and serialises service choices and move states."""

import math
import re

from galenatack import exceptions
from galenatack.config import _checked_object
from galenatack.config import _json_input
from galenatack.config import canonical_json
from galenatack.model import move_phase
from galenatack.model import move_state
from galenatack.model import service_choice

PERMILLE = 1000
MAX_ACTIVE_TARGETS = 100_000
MAX_STEP = 100
MAX_FIGURES = 256
MAX_TIME_MS = 10**15
_MOVE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_REASON = re.compile(r"[^\x00-\x1f\ud800-\udfff]{0,1000}")


def parse_choice(body: bytes) -> service_choice.ServiceChoice:
    """Parses and checks a service choice.

    Raises:
        exceptions.ProfileInvalidError: The choice has errors; the message has
            one line for each.
    """
    errors: list[str] = []
    root = _checked_object.CheckedObject(_json_input.load(body), "$", errors)
    result = service_choice.ServiceChoice(
        service=root.name("service"),
        profile=root.name("profile"),
        version=root.name("version"),
    )
    _finish(root, errors)
    return result


def dump_choice(value: service_choice.ServiceChoice) -> bytes:
    """Returns the canonical JSON of a service choice."""
    return canonical_json.dump(value._asdict())


def parse_move(body: bytes) -> move_state.MoveState:
    """Parses and checks a move state.

    Raises:
        exceptions.ProfileInvalidError: The state has errors; the message has
            one line for each.
    """
    errors: list[str] = []
    root = _checked_object.CheckedObject(_json_input.load(body), "$", errors)
    result = move_state.MoveState(
        move_id=root.text("move_id", pattern=_MOVE_ID),
        service=root.name("service"),
        from_version=root.name("from_version"),
        to_version=root.name("to_version"),
        started_ms=root.integer("started_ms", low=0, high=MAX_TIME_MS),
        by_ms=root.integer("by_ms", low=0, high=MAX_TIME_MS),
        phase=root.one_of("phase", [str(item) for item in _PHASES]),
        share_permille=root.integer("share_permille", low=0, high=PERMILLE),
        active_targets=root.integer(
            "active_targets", low=0, high=MAX_ACTIVE_TARGETS
        ),
        step=root.integer("step", low=0, high=MAX_STEP),
        reason=root.text("reason", pattern=_REASON, default=""),
        figures=_figures(root),
        warm_until_ms=root.integer(
            "warm_until_ms", low=0, high=MAX_TIME_MS, default=0
        ),
    )
    _finish(root, errors)
    return result


def dump_move(value: move_state.MoveState) -> bytes:
    """Returns the canonical JSON of a move state."""
    return canonical_json.dump(value._asdict())


_PHASES = tuple(move_phase.MovePhase)


def _figures(
    root: _checked_object.CheckedObject,
) -> tuple[tuple[str, float], ...]:
    result = []
    figures = root.items("figures", minimum=0, maximum=MAX_FIGURES)
    for index, item in enumerate(figures):
        if _is_figure(item):
            result.append((item[0], item[1]))
        else:
            root.fail(f"figures[{index}]", "expected [name, number]")
    return tuple(result)


def _is_figure(item: object) -> bool:
    if not isinstance(item, list) or len(item) != 2:
        return False
    name, number = item
    if not isinstance(name, str) or not name.isprintable():
        return False
    return type(number) in (int, float) and math.isfinite(number)


def _finish(root: _checked_object.CheckedObject, errors: list[str]) -> None:
    root.finish()
    if errors:
        raise exceptions.ProfileInvalidError("\n".join(errors))
