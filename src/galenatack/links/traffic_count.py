"""Counters of frames on the links."""

import typing


class TrafficKey(typing.NamedTuple):
    """What a counter counts.

    Attributes:
        message_type: Name of the message type.
        direction: `sent` or `received`.
        crosses_region: True when the peer is in another region.
    """

    message_type: str
    direction: str
    crosses_region: bool


class TrafficCount(typing.NamedTuple):
    """Totals since the start.

    Attributes:
        messages: Frames.
        payload_bytes: Bytes of the frames, without those of websockets, TLS
            and TCP.
    """

    messages: int
    payload_bytes: int
