"""Frame counters of peer links."""

import typing


class TrafficKey(typing.NamedTuple):
    """Labels of a frame counter.

    Attributes:
        message_type: Name of the message type.
        direction: `sent` or `received`.
        crosses_region: True if the peer is in another region.
    """

    message_type: str
    direction: str
    crosses_region: bool


class TrafficCount(typing.NamedTuple):
    """Totals since startup.

    Attributes:
        messages: Number of frames.
        payload_bytes: Size of the frames, without the overhead of
            websockets, TLS and TCP.
    """

    messages: int
    payload_bytes: int
