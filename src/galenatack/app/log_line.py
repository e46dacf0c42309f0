"""Parses lines of a node's log."""

import re
import typing

_PAIR = re.compile(r"(\w+)=(\"[^\"]*\"|'[^']*'|\S*)")
_MOMENT = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}")


class LogLine(typing.NamedTuple):
    """A line of a node's log.

    Attributes:
        moment: Wall-clock time of the node, ISO 8601 with milliseconds.
        node: Node that wrote it.
        event: Kind of the event.
        facts: All key=value pairs of the line.
    """

    moment: str
    node: str
    event: str
    facts: dict[str, str]


def parse(text: str) -> LogLine | None:
    """Returns the line, or None if it has no time stamp or no event."""
    moment = _MOMENT.search(text)
    facts = {name: value.strip("\"'") for name, value in _PAIR.findall(text)}
    if moment is None or "event" not in facts:
        return None
    return LogLine(moment[0], facts.get("node", ""), facts["event"], facts)
