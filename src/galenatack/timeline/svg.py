"""Renders events as an SVG timeline."""

import collections.abc
import datetime
import html

from galenatack.model import event
from galenatack.model import event_id
from galenatack.timeline import hybrid_clock

CHARACTER_WIDTH_PX = 7
"""Upper bound for the font below; node names have up to 63 characters."""

LANE_HEIGHT_PX = 48
STEP_WIDTH_PX = 120
MARGIN_PX = 24
DOT_RADIUS_PX = 5

Positions = dict[event_id.EventId, tuple[int, int]]


def draw(events: collections.abc.Sequence[event.Event]) -> str:
    """Returns an SVG document with one lane for each node.

    Args:
        events: Events in causal order, as `merge.merge` returns them.
    """
    lanes = sorted({item.event_id.node_id for item in events})
    longest = max(map(len, lanes), default=0)
    label_px = 2 * MARGIN_PX + CHARACTER_WIDTH_PX * longest
    positions = _positions(events, lanes, label_px)
    width = label_px + STEP_WIDTH_PX * (len(events) + 1)
    height = 2 * MARGIN_PX + LANE_HEIGHT_PX * max(1, len(lanes))
    body = [
        *_lanes(lanes, label_px, width),
        *_arrows(events, positions),
        *_dots(events, positions),
    ]
    return "\n".join(
        [
            f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}"'
            f' height="{height}" font-family="sans-serif" font-size="10">',
            *body,
            "</svg>",
        ]
    )


def _lane_y(index: int) -> int:
    return MARGIN_PX + LANE_HEIGHT_PX * index + LANE_HEIGHT_PX // 2


def _positions(
    events: collections.abc.Sequence[event.Event],
    lanes: list[str],
    label_px: int,
) -> Positions:
    return {
        item.event_id: (
            label_px + STEP_WIDTH_PX * index,
            _lane_y(lanes.index(item.event_id.node_id)),
        )
        for index, item in enumerate(events)
    }


def _lanes(lanes: list[str], label_px: int, width: int) -> list[str]:
    lines = []
    for index, name in enumerate(lanes):
        y = _lane_y(index)
        lines.append(
            f'<text x="4" y="{y + 4}">{html.escape(name)}</text>'
            f'<line x1="{label_px - MARGIN_PX // 2}" y1="{y}" x2="{width}"'
            f' y2="{y}" stroke="#ccc"/>'
        )
    return lines


def _arrows(
    events: collections.abc.Sequence[event.Event], positions: Positions
) -> list[str]:
    lines = []
    for item in events:
        if item.cause in positions:
            start_x, start_y = positions[item.cause]
            end_x, end_y = positions[item.event_id]
            lines.append(
                f'<line x1="{start_x}" y1="{start_y}" x2="{end_x}"'
                f' y2="{end_y}" stroke="#36c"/>'
            )
    return lines


def _dots(
    events: collections.abc.Sequence[event.Event], positions: Positions
) -> list[str]:
    lines = []
    for item in events:
        x, y = positions[item.event_id]
        facts = " ".join(f"{name}={value}" for name, value in item.facts)
        time_text = _format_time(item.hlc >> hybrid_clock.COUNTER_BITS)
        lines.append(
            f'<circle cx="{x}" cy="{y}" r="{DOT_RADIUS_PX}">'
            f"<title>{html.escape(f'{time_text} {facts}')}</title></circle>"
            f'<text x="{x}" y="{y - 9}">{html.escape(item.kind)}</text>'
            f'<text x="{x}" y="{y + 17}" fill="#666">{time_text[11:23]}</text>'
        )
    return lines


def _format_time(time_ms: int) -> str:
    utc = datetime.datetime.fromtimestamp(time_ms / 1000, tz=datetime.UTC)
    return utc.isoformat(timespec="milliseconds")
