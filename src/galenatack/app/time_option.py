"""Parses and formats times and durations of the tool."""

import datetime
import re

import click

UNIT_MS = {"s": 1000, "m": 60_000, "h": 3_600_000}
_DURATION = re.compile(r"([0-9]{1,6})([smh])")


def duration_ms(text: str) -> int | None:
    """Parses `90s`, `10m` or `2h` into milliseconds; else returns None."""
    match = _DURATION.fullmatch(text)
    if not match:
        return None
    return int(match[1]) * UNIT_MS[match[2]]


def moment_ms(text: str, *, now_ms: int) -> int:
    """Parses a future moment into wall-clock milliseconds.

    Args:
        text: `+10m`, `+90s`, `+2h` or RFC 3339 with an offset.
        now_ms: Current wall clock in milliseconds.

    Raises:
        click.BadParameter: The text has another format, or the moment has
            passed.
    """
    moment = _moment_ms(text, now_ms)
    if moment is None:
        raise click.BadParameter(
            f"{text!r}: expected +10m, +90s or RFC 3339 with an offset, such"
            " as 2027-03-01T18:00:00Z",
            param_hint="--by",
        )
    if moment <= now_ms:
        raise click.BadParameter(
            f"{text!r} is not in the future", param_hint="--by"
        )
    return moment


def format_utc(moment: int) -> str:
    """Formats a moment in milliseconds as RFC 3339 in UTC."""
    utc = datetime.datetime.fromtimestamp(moment / 1000, tz=datetime.UTC)
    return utc.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _moment_ms(text: str, now_ms: int) -> int | None:
    if text.startswith("+"):
        delay_ms = duration_ms(text[1:])
        return None if delay_ms is None else now_ms + delay_ms
    if "T" not in text.upper():
        return None
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    if moment.tzinfo is None:
        return None
    return int(moment.timestamp() * 1000)


class Duration(click.ParamType):
    """A click type for durations; the value is in milliseconds."""

    name = "duration"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> int:
        """Returns the milliseconds of a duration."""
        if isinstance(value, int):
            return value
        parsed = duration_ms(str(value))
        if parsed is None:
            self.fail(f"{value!r}: expected 90s, 10m or 2h", param, ctx)
        return parsed
